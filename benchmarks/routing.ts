/** Replays generated traces through the routing strategy and its baselines. */
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

/** The gateway's strategy, where groups send daemons other reports than those that the gateway requests. */
const reportingVariants: Readonly<Record<string, replays.GroupReporting>> = {
  chosenHearingNothing: { load: false, cacheEvents: false, intervalMs: 2_000 },
  chosenHearingLoad: { load: true, cacheEvents: false, intervalMs: 2_000 },
  chosenHearingBoth: { load: true, cacheEvents: true, intervalMs: 2_000 },
  chosenHearingOften: { load: false, cacheEvents: true, intervalMs: 500 },
};

/** Returns the slowdown factor of a group: two are slow for 45 s, one alternates every 5 s. */
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

/** Measures the capacity of the groups: their completion rate with least-in-flight at saturating load. */
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

const summarize = (name: string, outcome: replays.RoutingOutcome, boundTokens: number) => ({
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
  const strategyOutcomes = Object.entries(strategies).map(([name, create]) =>
    summarize(name, replays.replayRouting(trace, create, optionsOf(seed)), bound),
  );
  const variantOutcomes = Object.entries(reportingVariants).map(([name, groupReporting]) => {
    const options = { ...optionsOf(seed), groupReporting };
    return summarize(name, replays.replayRouting(trace, strategies.chosen, options), bound);
  });
  const outcomes = [...strategyOutcomes, ...variantOutcomes];
  return { trace: shape.name, seed, requestsPerSecond: round(capacity * loadFraction), outcomes };
};

type Run = Awaited<ReturnType<typeof measure>>;

const findP95Ms = (run: Run, name: keyof typeof strategies) =>
  run.outcomes.find((outcome) => outcome.name === name)!.firstTokenP95Ms;

const worstRatio = (runs: readonly Run[], name: keyof typeof strategies) =>
  round(Math.min(...runs.map((run) => findP95Ms(run, name) / findP95Ms(run, 'chosen'))), 2);

/** Replays every trace shape with every seed. */
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
