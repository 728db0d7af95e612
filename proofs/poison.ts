/**
 * A request that crashes its targets (groups, or instances of a service) takes down at most two of
 * them, whichever daemons it is sent through, and concurrent requests are answered completely. The
 * loss of a whole failure domain quarantines no request.
 */
import { performance } from 'node:perf_hooks';
import * as testing from '@comfreydrum/testing';
import * as groups from './missing-member/storedGroups';
import { createLoad, type Load, type LoadResult } from './support/createLoad';
import { createServicePoisons, poisonService } from './support/poisonService';
import { createBaselineProbe } from './support/createBaselineProbe';
import { waitUntilAllServing } from './support/waitUntilAllServing';
import { sleep, withFleet } from './support/withFleet';

const crashText = 'crashes-the-engine';
const engineCount = 9;
const domainCount = 3;
const daemonCount = 3;
/** Two in each failure domain. */
const serviceCount = 6;
const callerCount = 9;
const maxCrashedTargets = 2;
const resendCount = 8;
/** Added to the longest latency of the baseline probe, which depends on how busy the machine is. */
const refusalMarginMs = 50;
/** Longer than the interval within which the quarantine counts losses as one event. */
const lossSeparationMs = 3_000;
const loadAfterMs = 1_500;
const longAnswerTokens = 300;
const crashExitCode = 70;
const quarantinedStatus = 422;

const fleetOptions = (seed: number): testing.FleetOptions => ({
  seed,
  daemonCount,
  engines: {
    count: engineCount,
    options: { tokenMs: 12, loadMs: 100, crashOn: crashText },
    fabricDomainOf: (index) => `fabric-${index}`,
    failureDomainIndexOf: (index) => index % domainCount,
  },
  services: { count: serviceCount, latencyMs: 5, crashOn: crashText },
  configuration: testing.createTestConfiguration({ groups: engineCount, instancesPerGroup: 1 }),
});

const sendRequest = (
  daemon: testing.FleetDaemon,
  prompt: string,
  signal?: AbortSignal,
): Promise<testing.CompletionOutcome> =>
  testing.streamCompletion({
    url: daemon.url,
    token: testing.customerToken(testing.testNames.customer),
    prompt,
    model: testing.testNames.model,
    maxTokens: longAnswerTokens,
    ...(signal ? { signal } : {}),
  });

const isCompleteAnswer = (prompt: string, tokenCount: number, outcome: testing.CompletionOutcome) =>
  outcome.end === 'complete' && outcome.text === testing.expectedText(prompt, tokenCount);

const isQuarantined = ({ statusCode, error }: testing.CompletionOutcome) =>
  statusCode === quarantinedStatus || error.includes('request_quarantined');

const describeGroups = (inForce: readonly groups.StoredGroup[]): string =>
  inForce
    .map(({ groupId, phase, memberIds }) => `${groupId} ${phase} of ${memberIds.join('+')}`)
    .join(', ');

/**
 * Kills every engine of one failure domain while streams run on all engines, many of them with the
 * same prompt.
 */
const killFailureDomain = async (
  fleet: testing.Fleet,
  random: testing.Random,
  note: (text: string) => void,
): Promise<readonly string[]> => {
  const prompts = Array.from({ length: callerCount }, (_, index) =>
    index % 2 === 0 ? 'the same plan for all' : `plan ${index}`,
  );
  const answers = prompts.map((prompt) => sendRequest(random.pick(fleet.daemons), prompt));
  await sleep(random.integer(200, 1_500));
  const domain = random.integer(0, domainCount - 1);
  const groupsBefore = await groups.readGroups(fleet);
  const lost = fleet.engines.filter((_, index) => index % domainCount === domain);
  await Promise.all(
    lost.map(async (engine) => {
      await sleep(random.integer(0, 300));
      await engine.process().kill();
    }),
  );
  const outcomes = await Promise.all(answers);
  const groupsAfter = await groups.readGroups(fleet);
  const again = await Promise.all(
    prompts.map((prompt) => sendRequest(random.pick(fleet.daemons), prompt)),
  );
  await Promise.all(lost.map((engine) => engine.start()));
  const violations = [...outcomes, ...again].flatMap((outcome, index) => {
    const prompt = prompts[index % prompts.length]!;
    const round = index < prompts.length ? 'during' : 'after';
    if (isQuarantined(outcome))
      return [`a request was quarantined ${round} the loss of a failure domain`];
    if (isCompleteAnswer(prompt, longAnswerTokens, outcome)) return [];
    return [
      `a stream ended ${outcome.end} ${round} the loss of a failure domain: ${outcome.error}`,
    ];
  });
  if (violations.length > 0) {
    note(`engines killed: ${lost.map(({ instanceId }) => instanceId).join(', ')}`);
    note(`groups when the engines were killed: ${describeGroups(groupsBefore)}`);
    note(`groups after the streams had ended: ${describeGroups(groupsAfter)}`);
  }
  return violations;
};

/** Sends a crashing request repeatedly through random daemons, sometimes aborting it early. */
const sendPoison = async (fleet: testing.Fleet, random: testing.Random) => {
  const prompt = `${crashText} ${random.integer(0, 1e9)}`;
  const outcomes: testing.CompletionOutcome[] = [];
  for (let turn = 0; turn < resendCount; turn += 1) {
    const isAborted = turn < resendCount / 2 && random.fraction() < 0.3;
    const abortAfterMs = random.integer(20, 400);
    const signal = isAborted ? AbortSignal.timeout(abortAfterMs) : undefined;
    outcomes.push(await sendRequest(random.pick(fleet.daemons), prompt, signal));
    await sleep(random.integer(0, 150));
  }
  return { prompt, outcomes };
};

const checkPoisonAnswers = (
  outcomes: readonly testing.CompletionOutcome[],
  baselineMs: number,
): readonly string[] => {
  const last = outcomes.at(-1)!;
  const violations = isQuarantined(last)
    ? []
    : [`the crashing request was answered ${last.statusCode} ${last.end}: ${last.error}`];
  const late = last.durationMs > refusalMarginMs + baselineMs;
  const noRetryAfter = last.headers['retry-after'] === undefined;
  return [
    ...violations,
    ...(late ? [`the last refusal took ${Math.round(last.durationMs)} ms`] : []),
    ...(noRetryAfter ? ['the last refusal has no Retry-After header'] : []),
  ];
};

const checkConcurrentRequests = (results: readonly LoadResult[]): readonly string[] =>
  results.flatMap(({ prompt, maxTokens, outcome }) => {
    if (isCompleteAnswer(prompt, maxTokens, outcome)) return [];
    return [`a concurrent request ended ${outcome.end} (${outcome.statusCode}): ${outcome.error}`];
  });

const countCrashedEngines = async (fleet: testing.Fleet): Promise<number> => {
  const ended = fleet.engines.filter((engine) => !engine.process().isRunning());
  const exits = await Promise.all(ended.map((engine) => engine.process().exited));
  return exits.filter(({ code }) => code === crashExitCode).length;
};

const startConcurrentLoad = (fleet: testing.Fleet, random: testing.Random): Load =>
  createLoad({
    daemons: () => fleet.daemons,
    callerCount,
    minTokens: 20,
    maxTokens: 200,
    random,
  });

export const prove: testing.Proof = ({ seed, random, note }) =>
  withFleet(fleetOptions(seed), async (fleet) => {
    await waitUntilAllServing(fleet);
    const domainLossViolations = await killFailureDomain(fleet, random, note);
    note(`a failure domain was lost: ${domainLossViolations.length} violations`);
    await waitUntilAllServing(fleet);
    await sleep(lossSeparationMs);

    const baseline = createBaselineProbe(fleet.platform);
    const load = startConcurrentLoad(fleet, random);
    await sleep(random.integer(300, 1_000));
    const startedAtMs = performance.now();
    const { outcomes } = await sendPoison(fleet, random);
    const settledMs = performance.now() - startedAtMs;
    await sleep(loadAfterMs);
    const results = await load.stop();
    const baselineMs = await baseline.stop();
    const victims = await countCrashedEngines(fleet);
    note(`answers: ${outcomes.map(({ statusCode, end }) => `${statusCode} ${end}`).join(', ')}`);

    const poisoned = [];
    for (const poison of createServicePoisons(`${crashText}-${random.integer(0, 1e9)}`)) {
      poisoned.push(await poisonService(fleet, random, poison));
      note(`a crashing ${poison.name} took down ${poisoned.at(-1)!.victims} instances`);
    }

    const tooMany = victims > maxCrashedTargets ? [`${victims} targets were taken down`] : [];
    return {
      violations: [
        ...domainLossViolations,
        ...tooMany,
        ...checkPoisonAnswers(outcomes, baselineMs),
        ...checkConcurrentRequests(results),
        ...poisoned.flatMap(({ violations }) => violations),
      ],
      figures: {
        victims,
        serviceVictims: Math.max(...poisoned.map(({ victims: count }) => count)),
        lookupsBeside: poisoned.reduce((sum, { lookups }) => sum + lookups, 0),
        requestsBeside: results.length,
        settledMs: Math.round(settledMs),
        controlMs: Math.round(baselineMs),
        lastRefusalMs: Math.round(outcomes.at(-1)!.durationMs),
        longestBesideMs: Math.round(Math.max(...results.map(({ outcome }) => outcome.durationMs))),
      },
    };
  });
