/**
 * At twice its capacity the fleet keeps at least 95 % of its goodput, serves every small customer
 * its share, and refuses the rest at once with a Retry-After header.
 */
import { performance } from 'node:perf_hooks';
import * as testing from '@comfreydrum/testing';
import { createBaselineProbe } from './support/createBaselineProbe';
import { waitUntilAllServing } from './support/waitUntilAllServing';
import { sleep, withFleet } from './support/withFleet';

const engineCount = 4;
const daemonCount = 2;
const slotsPerGroup = 8;
const tokenMs = 20;
const tokensPerRequest = 40;
const deadlineMs = 8_000;
const warmUpMs = 4_000;
const phaseMs = 8_000;
const settleMs = 1_000;
const msPerSecond = 1_000;
const saturatingPerSecond = 90;
const smallPerSecond = 2;
const smallCustomers = ['small-1', 'small-2', 'small-3'];
const largeCustomers = ['large-1', 'large-2'];
const minGoodputRatio = 0.95;
const minSmallServed = 0.9;
/** Added to the longest latency of the baseline probe, which depends on how busy the machine is. */
const refusalMarginMs = 50;
const abortFraction = 0.05;

const fleetOptions = (seed: number): testing.FleetOptions => ({
  seed,
  daemonCount,
  engines: {
    count: engineCount,
    options: { tokenMs, loadMs: 100, maxRunning: slotsPerGroup },
    fabricDomainOf: (index) => `fabric-${index}`,
    failureDomainIndexOf: (index) => index,
  },
  configuration: testing.createTestConfiguration({
    groups: engineCount,
    instancesPerGroup: 1,
    customers: [testing.testNames.customer, ...smallCustomers, ...largeCustomers],
    modelDeadlineMs: deadlineMs,
    maxConcurrentPerGroup: slotsPerGroup,
  }),
});

interface Answer {
  readonly customer: string;
  readonly prompt: string;
  readonly wasAborted: boolean;
  readonly outcome: testing.CompletionOutcome;
}

interface Phase {
  readonly answers: readonly Answer[];
  readonly requestsPerSecond: number;
  /** The longest latency of the baseline probe during the phase. */
  readonly baselineMs: number;
}

const sendRequest = async (
  fleet: testing.Fleet,
  random: testing.Random,
  customer: string,
): Promise<Answer> => {
  const prompt = `Plan ${random.integer(0, 1e9)} of ${customer}`;
  const wasAborted = random.fraction() < abortFraction;
  const abortAfterMs = random.integer(50, 500);
  const outcome = await testing.streamCompletion({
    url: random.pick(fleet.daemons).directUrl,
    token: testing.customerToken(customer),
    prompt,
    model: testing.testNames.model,
    maxTokens: tokensPerRequest,
    ...(wasAborted ? { signal: AbortSignal.timeout(abortAfterMs) } : {}),
  });
  return { customer, prompt, wasAborted, outcome };
};

/**
 * Sends requests with exponentially distributed gaps. The large customers make up the rest of
 * the rate that the small ones leave.
 */
const runPhase = async (
  fleet: testing.Fleet,
  random: testing.Random,
  requestsPerSecond: number,
  durationMs: number,
): Promise<Phase> => {
  const smallFraction = (smallPerSecond * smallCustomers.length) / requestsPerSecond;
  const baseline = createBaselineProbe(fleet.platform);
  const startedAtMs = performance.now();
  const answers: Promise<Answer>[] = [];
  let nextAtMs = 0;
  while (nextAtMs < durationMs) {
    await sleep(Math.max(0, startedAtMs + nextAtMs - performance.now()));
    const isSmall = random.fraction() < smallFraction;
    answers.push(
      sendRequest(fleet, random, random.pick(isSmall ? smallCustomers : largeCustomers)),
    );
    nextAtMs += (-Math.log(1 - random.fraction()) * msPerSecond) / requestsPerSecond;
  }
  const settled = await Promise.all(answers);
  return { answers: settled, requestsPerSecond, baselineMs: await baseline.stop() };
};

const isCompleteAnswer = ({ prompt, outcome }: Answer) =>
  outcome.end === 'complete' && outcome.text === testing.expectedText(prompt, tokensPerRequest);

const goodput = ({ answers }: Phase) =>
  (answers.filter(isCompleteAnswer).length * msPerSecond) / phaseMs;

const refusalsOf = ({ answers }: Phase) =>
  answers.filter(({ outcome }) => outcome.end === 'refused');

const worstSmallServed = ({ answers }: Phase): number =>
  Math.min(
    ...smallCustomers.map((customer) => {
      const own = answers.filter((answer) => answer.customer === customer && !answer.wasAborted);
      return own.filter(isCompleteAnswer).length / Math.max(1, own.length);
    }),
  );

const checkAnswers = ({ answers }: Phase): readonly string[] =>
  answers.flatMap((answer) => {
    const { outcome, wasAborted } = answer;
    if (wasAborted || isCompleteAnswer(answer)) return [];
    if (outcome.end !== 'refused') return [`a request ended ${outcome.end}: ${outcome.error}`];
    const lacksRetryAfter = outcome.headers['retry-after'] === undefined;
    return lacksRetryAfter ? [`a refusal ${outcome.statusCode} has no Retry-After header`] : [];
  });

const checkPhases = (atCapacity: Phase, atTwice: Phase): readonly string[] => {
  const goodputRatio = goodput(atTwice) / goodput(atCapacity);
  const smallServed = worstSmallServed(atTwice);
  const refusalLimitMs = refusalMarginMs + atTwice.baselineMs;
  const slow = refusalsOf(atTwice).filter(({ outcome }) => outcome.durationMs > refusalLimitMs);
  return [
    ...checkAnswers(atCapacity),
    ...checkAnswers(atTwice),
    ...(goodputRatio < minGoodputRatio
      ? [`goodput at twice the capacity is ${goodputRatio.toFixed(3)} of that at capacity`]
      : []),
    ...(smallServed < minSmallServed
      ? [`a small customer was served only a fraction ${smallServed.toFixed(3)} of its requests`]
      : []),
    ...(refusalsOf(atTwice).length === 0 ? ['nothing was refused at twice the capacity'] : []),
    ...slow.map(({ outcome }) => {
      const tookMs = Math.round(outcome.durationMs);
      return `a refusal took ${tookMs} ms, the baseline probe ${atTwice.baselineMs} ms`;
    }),
  ];
};

/** Checks that requests of disconnected callers occupy no engine slot any more. */
const checkNoRequestRunning = async (fleet: testing.Fleet): Promise<readonly string[]> => {
  await sleep(settleMs);
  const served = await Promise.all(fleet.engines.map((engine) => engine.served()));
  const running = served.flat().filter(({ outcome }) => outcome === 'running');
  return running.length === 0
    ? []
    : [`${running.length} requests still run after all callers disconnected`];
};

export const prove: testing.Proof = ({ seed, random, note }) =>
  withFleet(fleetOptions(seed), async (fleet) => {
    await waitUntilAllServing(fleet);
    const warmUp = await runPhase(fleet, random, saturatingPerSecond, warmUpMs);
    const capacity = (warmUp.answers.filter(isCompleteAnswer).length * msPerSecond) / warmUpMs;
    note(`capacity is ${capacity.toFixed(1)} requests a second`);
    const atCapacity = await runPhase(fleet, random, capacity, phaseMs);
    const atTwice = await runPhase(fleet, random, 2 * capacity, phaseMs);
    const refused = refusalsOf(atTwice).map(({ outcome }) => outcome.durationMs);
    return {
      violations: [...checkPhases(atCapacity, atTwice), ...(await checkNoRequestRunning(fleet))],
      figures: {
        capacityPerSecond: Number(capacity.toFixed(1)),
        goodputAtCapacityPerSecond: Number(goodput(atCapacity).toFixed(1)),
        goodputAtTwicePerSecond: Number(goodput(atTwice).toFixed(1)),
        refusedAtTwice: refused.length,
        longestRefusalMs: Math.round(Math.max(0, ...refused)),
        longestControlMs: Math.round(atTwice.baselineMs),
        smallNotServedFraction: Number((1 - worstSmallServed(atTwice)).toFixed(3)),
      },
    };
  });
