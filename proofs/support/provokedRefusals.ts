import * as testing from '@comfreydrum/testing';
import * as undici from 'undici';
import { submitFiling } from './createFilings';
import type { FilingResult } from './createFilings';
import { sleep } from './withFleet';

/**
 * The refusals that were provoked by deliberate requests, and the violations found in their
 * answers.
 */
export interface ProvokedRefusals {
  /** The IDs of the requests reported as not run. */
  readonly notRunIds: readonly string[];
  /** The keys for which every submission was reported as not run. */
  readonly notRunKeys: readonly string[];
  readonly refusedCount: number;
  readonly violations: readonly string[];
}

const poison = 'crashes-the-service';
const quarantineTimeoutMs = 15_000;
const minQuarantinedCount = 6;
const drainedFilingCount = 6;
const exitTimeoutMs = 40_000;
const concurrentCount = 30;
const concurrentTokens = 40;

/** A filing text that crashes the fleet's service after the filing has run. */
export const poisonText = poison;

const codeOf = ({ text }: FilingResult): string => {
  try {
    return (JSON.parse(text) as { readonly error?: { readonly code?: string } }).error?.code ?? '';
  } catch {
    return '';
  }
};

const isNotRun = ({ ran }: FilingResult) => ran === 'not-run';
const hasCode = (code: string) => (result: FilingResult) =>
  result.statusCode === 422 && isNotRun(result) && codeOf(result) === code;

const collect = (
  results: readonly FilingResult[],
  refusedCount: number,
  violations: readonly string[],
): ProvokedRefusals => {
  const notRun = results.filter(isNotRun);
  const otherKeys = new Set(
    results.filter((result) => !isNotRun(result)).map((result) => result.key),
  );
  const withoutRanHeader = results.filter(({ statusCode, ran }) => statusCode !== 0 && ran === '');
  return {
    notRunIds: notRun.map(({ requestId }) => requestId),
    notRunKeys: notRun.map(({ key }) => key).filter((key) => !otherKeys.has(key)),
    refusedCount,
    violations: [
      ...violations,
      ...withoutRanHeader.map((result) => `an answer has no ran header: ${JSON.stringify(result)}`),
    ],
  };
};

/** Reuses the key of a filing for different filings, through every daemon. */
export const reuseKeys = async (
  { daemons }: testing.Fleet,
  random: testing.Random,
): Promise<ProvokedRefusals> => {
  const key = 'reused';
  const first = await submitFiling({ daemon: random.pick(daemons), key });
  const reuses = await Promise.all(
    daemons.map((daemon, index) => submitFiling({ daemon, key, body: `{"other":${index}}` })),
  );
  const refused = reuses.filter(hasCode('idempotency_key_reused'));
  const isExpected = first.statusCode === 201 && refused.length === reuses.length;
  const seen = [first, ...reuses].map(({ statusCode, ran }) => `${statusCode} ${ran}`).join(', ');
  return collect(
    [first, ...reuses],
    refused.length,
    isExpected
      ? []
      : [`the first filing under a key and then different ones under the same key got ${seen}`],
  );
};

/**
 * Submits a crashing filing until every daemon refuses it. Crashed instances are restarted at once.
 */
export const quarantineFiling = async (
  fleet: testing.Fleet,
  random: testing.Random,
): Promise<ProvokedRefusals> => {
  const endAtMs = performance.now() + quarantineTimeoutMs;
  const results: FilingResult[] = [];
  const isQuarantined = hasCode('request_quarantined');
  const refused = () => results.filter(isQuarantined);
  const quarantiningDaemonCount = () => new Set(refused().map(({ daemonId }) => daemonId)).size;
  while (
    (refused().length < minQuarantinedCount || quarantiningDaemonCount() < fleet.daemons.length) &&
    performance.now() < endAtMs
  ) {
    const daemon = random.pick(fleet.daemons);
    const key = `poison-${results.length}`;
    results.push(await submitFiling({ daemon, key, body: JSON.stringify({ filing: poison }) }));
    await sleep(random.integer(50, 150));
    const ended = fleet.services.filter((service) => !service.process().isRunning());
    await Promise.all(ended.map((service) => service.start()));
  }
  const firstIndex = results.findIndex(isQuarantined);
  const later =
    firstIndex < 0 ? [] : results.slice(firstIndex).filter((one) => !isQuarantined(one));
  const answers = results.map(({ statusCode, ran }) => `${statusCode} ${ran}`).join(', ');
  const isMissing = quarantiningDaemonCount() < fleet.daemons.length;
  return collect(results, refused().length, [
    ...(isMissing ? [`a crashing filing was not quarantined by every daemon: ${answers}`] : []),
    ...later.map(({ statusCode, ran }) => `a quarantined filing got ${statusCode} ${ran}`),
  ]);
};

/** Submits filings through a draining daemon until it has exited, then restarts it. */
export const submitWhileDraining = async (
  daemon: testing.FleetDaemon,
): Promise<ProvokedRefusals> => {
  const results: FilingResult[] = [];
  const submitNext = async () => {
    results.push(await submitFiling({ daemon, key: `draining-${results.length}` }));
  };
  await undici.request(`${daemon.adminUrl}/v1/drain`, {
    method: 'POST',
    headers: { authorization: `Bearer ${testing.operatorToken}` },
  });
  const wasReady = await daemon.isReady();
  for (let index = 0; index < drainedFilingCount; index += 1) await submitNext();
  const running = daemon.process();
  running.terminate();
  const endAtMs = performance.now() + exitTimeoutMs;
  while (running.isRunning() && performance.now() < endAtMs) {
    await Promise.all([submitNext(), submitNext(), submitNext()]);
    await sleep(20);
  }
  const hasEnded = !running.isRunning();
  if (hasEnded) await daemon.start();
  const answered = results.filter(({ statusCode }) => statusCode !== 0);
  return collect(results, results.filter(isNotRun).length, [
    ...(wasReady ? [`${daemon.instanceId} was ready while it drained`] : []),
    ...(hasEnded ? [] : [`${daemon.instanceId} did not exit after it had drained`]),
    ...(answered.length === 0 ? [`${daemon.instanceId} answered no filing while it drained`] : []),
  ]);
};

/** Sends more concurrent requests than the limits of a customer allow, and returns all outcomes. */
export const sendConcurrently = (
  { daemons }: testing.Fleet,
  customer: string,
): Promise<readonly testing.CompletionOutcome[]> =>
  Promise.all(
    Array.from({ length: concurrentCount }, (_, index) =>
      testing.streamCompletion({
        url: daemons[index % daemons.length]!.url,
        token: testing.customerToken(customer),
        prompt: `${customer} ${index}`,
        model: testing.testNames.model,
        maxTokens: concurrentTokens,
      }),
    ),
  );
