/** Replays generated traces at one and two times the capacity, with admission control and with FIFO. */
import type * as routing from '@comfreydrum/routing';
import * as daemons from './replay/createDaemonModel';
import * as traces from './replay/createTrace';
import * as overload from './replay/replayOverload';
import { createDomainCost, quantile } from './replay/replayRouting';

const groupCount = 8;
const daemonCount = 4;
const maxRunning = 48;
const cacheBlocks = 1_200;
const durationMs = 90_000;
const countFromMs = 15_000;
const seeds = [1, 2, 3];
const saturatingRequestsPerSecond = 100;
const msPerSecond = 1_000;
const domainNames = ['derby-a', 'notts-b', 'leics-c'];

const policies = {
  fifo: (candidates: readonly routing.Candidate[], seed: number) =>
    daemons.createFifoDaemon(candidates, seed),
  admission: (candidates: readonly routing.Candidate[], seed: number, daemon: number) =>
    daemons.createAdmissionControlDaemon(
      candidates,
      seed,
      createDomainCost(domainNames[daemon % domainNames.length]!),
    ),
} as const;

type PolicyName = keyof typeof policies;

/**
 * Returns the customers' shares at a load given as a multiple of the capacity. Small customers send the
 * same as at capacity; large ones send the rest.
 */
const scaleCustomers = (load: number) => {
  const smallCustomers = traces.tenCustomers.filter(({ name }) => name.startsWith('small'));
  const smallFraction = smallCustomers.reduce((sum, { part }) => sum + part, 0);
  const largeGrowth = (load - smallFraction) / (1 - smallFraction);
  return traces.tenCustomers.map(({ name, part }) => ({
    name,
    part: (name.startsWith('large') ? part * largeGrowth : part) / load,
  }));
};

const replay = async (
  shape: traces.TraceShape,
  seed: number,
  policy: PolicyName,
  requestsPerSecond: number,
  load: number,
) => {
  const trace = await traces.createTrace(shape, seed, {
    durationMs,
    requestsPerSecond: requestsPerSecond * load,
    customers: scaleCustomers(load),
  });
  return overload.replayOverload(trace, {
    seed,
    groupCount,
    daemonCount,
    maxRunning,
    cacheBlocks,
    createDaemon: policies[policy],
    countFromMs,
  });
};

const isFromSmallCustomer = ({ request }: overload.RequestOutcome) =>
  request.customer.startsWith('small');

/**
 * Returns the lowest fraction, over the small customers, of requests that were answered in time.
 * Requests that the caller abandoned do not count.
 */
const computeWorstSmallServed = (outcomes: readonly overload.RequestOutcome[]): number => {
  const names = new Set(
    outcomes.filter(isFromSmallCustomer).map(({ request }) => request.customer),
  );
  return Math.min(
    ...[...names].map((name) => {
      const ownOutcomes = outcomes.filter(({ request }) => request.customer === name);
      const notAbandoned = ownOutcomes.filter(({ kind }) => kind !== 'abandoned');
      return notAbandoned.filter(({ kind }) => kind === 'in-time').length / notAbandoned.length;
    }),
  );
};

const summarize = (outcomes: readonly overload.RequestOutcome[]) => {
  const inTime = outcomes.filter(({ kind }) => kind === 'in-time');
  const refused = outcomes.filter(({ kind }) => kind === 'refused');
  const tokens = inTime.reduce((sum, { request }) => sum + request.outputTokens, 0);
  const refusedAfterMs = refused.map(({ afterMs }) => afterMs);
  const firstTokenMs = inTime.flatMap((outcome) => outcome.firstTokenMs ?? []);
  return {
    requestCount: outcomes.length,
    goodputTokensPerSecond: Math.round((tokens * msPerSecond) / (durationMs - countFromMs)),
    refusedCount: refused.length,
    lateCount: outcomes.filter(({ kind }) => kind === 'late').length,
    refusalP99Ms: Math.round(quantile(refusedAfterMs, 0.99)),
    refusedAfter50Ms: refusedAfterMs.filter((afterMs) => afterMs > 50).length,
    firstTokenP95Ms: Math.round(quantile(firstTokenMs, 0.95)),
    worstSmallServed: Number(computeWorstSmallServed(outcomes).toFixed(3)),
  };
};

/** Measures the capacity of the groups: the rate of requests that end in time under saturating load. */
const measureCapacity = async (shape: traces.TraceShape, seed: number) => {
  const outcomes = await replay(shape, seed, 'admission', saturatingRequestsPerSecond, 1);
  const inTimeCount = outcomes.filter(({ kind }) => kind === 'in-time').length;
  return (inTimeCount * msPerSecond) / (durationMs - countFromMs);
};

const measure = async (shape: traces.TraceShape, seed: number) => {
  const capacity = await measureCapacity(shape, seed);
  const run = async (policy: PolicyName, load: number) =>
    summarize(await replay(shape, seed, policy, capacity, load));
  const atCapacity = await run('admission', 1);
  const atTwice = await run('admission', 2);
  const fifoAtCapacity = await run('fifo', 1);
  const fifoAtTwice = await run('fifo', 2);
  const computeGoodputKept = (once: typeof atTwice, twice: typeof atTwice) =>
    Number((twice.goodputTokensPerSecond / once.goodputTokensPerSecond).toFixed(3));
  return {
    trace: shape.name,
    seed,
    requestsPerSecond: Number(capacity.toFixed(1)),
    goodputKept: computeGoodputKept(atCapacity, atTwice),
    fifoGoodputKept: computeGoodputKept(fifoAtCapacity, fifoAtTwice),
    atCapacity,
    atTwice,
    fifoAtCapacity,
    fifoAtTwice,
  };
};

/** Replays every trace shape with every seed. */
export const bench = async (): Promise<object> => {
  const runs: Awaited<ReturnType<typeof measure>>[] = [];
  for (const shape of traces.traceShapes) {
    for (const seed of seeds) runs.push(await measure(shape, seed));
  }
  return {
    worstGoodputKept: Math.min(...runs.map(({ goodputKept }) => goodputKept)),
    bestFifoGoodputKept: Math.max(...runs.map(({ fifoGoodputKept }) => fifoGoodputKept)),
    worstSmallServedAtTwice: Math.min(...runs.map(({ atTwice }) => atTwice.worstSmallServed)),
    refusedAfter50Ms: runs.reduce((sum, { atTwice }) => sum + atTwice.refusedAfter50Ms, 0),
    refusedCount: runs.reduce((sum, { atTwice }) => sum + atTwice.refusedCount, 0),
    lateCount: runs.reduce((sum, { atTwice }) => sum + atTwice.lateCount, 0),
    runs,
  };
};
