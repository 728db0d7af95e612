/** Replays recorded days through route choice and its baselines. */
import * as routing from '@comfreydrum/routing';
import * as traces from './replay/createTrace';
import * as replays from './replay/replayRouting';

const groupCount = 16;
const maxRunning = 48;
const cacheBlocks = 1_200;
const loadFraction = 0.8;
const durationMs = 90_000;
const seeds = [1, 2, 3];
const saturatingRequestsPerSecond = 200;
const saturatingDurationMs = 20_000;

const strategies = {
  random: () => new routing.RandomStrategy(),
  roundRobin: () => new routing.RoundRobinStrategy(),
  leastInFlight: () => new routing.LeastInFlightStrategy(),
  chosen: (domainCost: routing.DomainCost) => new routing.PredictedFirstTokenStrategy(domainCost),
};

/** The chosen strategy where daemons hear other things of the groups than the gateway asks for. */
const variants: Readonly<Record<string, replays.GroupReporting>> = {
  chosenHearingNothing: { load: false, cacheEvents: false, intervalMs: 2_000 },
  chosenHearingLoad: { load: true, cacheEvents: false, intervalMs: 2_000 },
  chosenHearingBoth: { load: true, cacheEvents: true, intervalMs: 2_000 },
  chosenHearingOften: { load: false, cacheEvents: true, intervalMs: 500 },
};

/** Two groups are stragglers for a while, and one flaps. */
const slownessAt = (group: number, nowMs: number) => {
  if (group < 2) return nowMs > 15_000 && nowMs < 60_000 ? 3 : 1;
  if (group === 2) return Math.floor(nowMs / 5_000) % 2 === 0 ? 2.5 : 1;
  return 1;
};

const optionsOf = (seed: number): replays.ReplayOptions => ({
  seed,
  groupCount,
  daemonCount: 4,
  maxRunning,
  cacheBlocks,
  slownessAt,
});

/** Measures what the groups carry when least-in-flight always has work for all of them. */
const measureCapacity = async (shape: traces.TraceShape, seed: number) => {
  const trace = await traces.createTrace(shape, seed, {
    durationMs: saturatingDurationMs,
    requestsPerSecond: saturatingRequestsPerSecond,
    customers: traces.tenCustomers,
  });
  const outcome = replays.replayRouting(trace, strategies.leastInFlight, {
    ...optionsOf(seed),
    drainMs: 0,
  });
  return (outcome.completedCount * 1_000) / outcome.endedAtMs;
};

const round = (value: number, digits = 1) => Number(value.toFixed(digits));

const describe = (name: string, outcome: replays.RoutingOutcome, boundTokens: number) => ({
  name,
  firstTokenP50Ms: round(replays.quantile(outcome.firstTokenMs, 0.5)),
  firstTokenP95Ms: round(replays.quantile(outcome.firstTokenMs, 0.95)),
  betweenTokensP95Ms: replays.quantile(outcome.betweenTokensMs, 0.95),
  cachedPartOfBound: round(outcome.cachedTokens / boundTokens, 3),
});

const measure = async (shape: traces.TraceShape, seed: number) => {
  const capacity = await measureCapacity(shape, seed);
  const trace = await traces.createTrace(shape, seed, {
    durationMs,
    requestsPerSecond: capacity * loadFraction,
    customers: traces.tenCustomers,
  });
  const bound = replays.countCacheableTokens(trace);
  const compared = Object.entries(strategies).map(([name, create]) =>
    describe(name, replays.replayRouting(trace, create, optionsOf(seed)), bound),
  );
  const varied = Object.entries(variants).map(([name, groupReporting]) => {
    const options = { ...optionsOf(seed), groupReporting };
    return describe(name, replays.replayRouting(trace, strategies.chosen, options), bound);
  });
  const outcomes = [...compared, ...varied];
  return { trace: shape.name, seed, requestsPerSecond: round(capacity * loadFraction), outcomes };
};

type Run = Awaited<ReturnType<typeof measure>>;

const p95Of = (run: Run, name: keyof typeof strategies) =>
  run.outcomes.find((outcome) => outcome.name === name)!.firstTokenP95Ms;

const worstRatio = (runs: readonly Run[], name: keyof typeof strategies) =>
  round(Math.min(...runs.map((run) => p95Of(run, name) / p95Of(run, 'chosen'))), 2);

/** Replays every kind of day with every seed. */
export const bench = async (): Promise<object> => {
  const runs: Run[] = [];
  for (const shape of traces.traceShapes) {
    for (const seed of seeds) runs.push(await measure(shape, seed));
  }
  const cachedParts = runs.map(
    (run) => run.outcomes.find(({ name }) => name === 'chosen')!.cachedPartOfBound,
  );
  return {
    loadFraction,
    groupCount,
    worstP95RatioToRandom: worstRatio(runs, 'random'),
    worstP95RatioToRoundRobin: worstRatio(runs, 'roundRobin'),
    worstP95RatioToLeastInFlight: worstRatio(runs, 'leastInFlight'),
    worstCachedPartOfBound: Math.min(...cachedParts),
    runs,
  };
};
