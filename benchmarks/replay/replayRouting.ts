import * as routing from '@comfreydrum/routing';
import * as engines from './createEngineModel';
import { tokensPerBlock, type TraceRequest } from './createTrace';

/** Which reports daemons receive from the groups. */
export interface GroupReporting {
  readonly load: boolean;
  readonly cacheEvents: boolean;
  /** Interval between two reports of a group to a daemon. */
  readonly intervalMs: number;
}

/** Parameters of a routing replay. */
export interface ReplayOptions {
  readonly seed: number;
  readonly groupCount: number;
  readonly daemonCount: number;
  readonly maxRunning: number;
  readonly cacheBlocks: number;
  /** Returns the factor by which the steps of a group take longer than normal. */
  readonly slownessAt: (group: number, nowMs: number) => number;
  /** The reports that daemons receive from the groups; by default, those that the gateway requests. */
  readonly groupReporting?: GroupReporting;
  /** Longest time that the replay continues after the last request of the trace. */
  readonly drainMs?: number;
}

/** The result of a routing replay. */
export interface RoutingOutcome {
  readonly firstTokenMs: readonly number[];
  readonly betweenTokensMs: readonly number[];
  readonly cachedTokens: number;
  readonly completedCount: number;
  readonly outputTokens: number;
  readonly endedAtMs: number;
}

const failureDomains = ['pamplona-a', 'pamplona-b', 'baztan'];
const domainDelayMs = 6;
const reportLagMs = 400;
const hintLagMs = 1_500;
const hintLossFraction = 0.2;
/** With two or more daemons and 16 groups, the gateway polls each group at this interval. */
const gatewayReporting: GroupReporting = { load: false, cacheEvents: true, intervalMs: 2_000 };
const defaultDrainMs = 120_000;

interface InFlightRequest {
  readonly request: TraceRequest;
  readonly router: routing.Router;
  lastTokenAtMs: number | undefined;
}

interface DelayedAction {
  readonly atMs: number;
  readonly act: () => void;
}

/** Returns the function of the cost, in milliseconds, to send from `own` to a failure domain. */
export const createDomainCost =
  (own: string): routing.DomainCost =>
  (failureDomain) =>
    failureDomain === own ? 0 : domainDelayMs;

/** Replays a trace through the routers of several daemons, with engine models as targets. */
export const replayRouting = (
  trace: readonly TraceRequest[],
  createStrategy: (domainCost: routing.DomainCost) => routing.RouteStrategy,
  options: ReplayOptions,
): RoutingOutcome => {
  const {
    seed,
    groupCount,
    daemonCount,
    drainMs = defaultDrainMs,
    groupReporting: reporting = gatewayReporting,
  } = options;
  const random = routing.createRandom(seed);
  const groups = Array.from({ length: groupCount }, (_, group) =>
    engines.createEngineModel({
      maxRunning: options.maxRunning,
      cacheBlocks: options.cacheBlocks,
      tokensPerBlock,
      slownessAt: (nowMs) => options.slownessAt(group, nowMs),
    }),
  );
  const candidates = groups.map((_, group): routing.Candidate => ({
    id: `${group}`,
    failureDomain: failureDomains[group % failureDomains.length]!,
    maxConcurrent: options.maxRunning,
    generation: 1,
  }));
  const routers = Array.from({ length: daemonCount }, (_, daemon) =>
    routing.createRouter({
      strategy: createStrategy(createDomainCost(failureDomains[daemon % failureDomains.length]!)),
      random: routing.createRandom(seed * 1_000 + daemon),
    }),
  );
  const inFlight = new Map<string, InFlightRequest>();
  const delayed: DelayedAction[] = [];
  const firstTokenMs: number[] = [];
  const betweenTokensMs: number[] = [];
  let completedCount = 0;
  let outputTokens = 0;

  const send = (request: TraceRequest, nowMs: number) => {
    const router = routers[random.index(daemonCount)]!;
    const routeRequest = { ...request, triedIds: new Set<string>() };
    const chosen = router.choose(candidates, routeRequest, nowMs)!;
    router.onDispatch(chosen, routeRequest, nowMs);
    inFlight.set(request.id, { request, router, lastTokenAtMs: undefined });
    groups[Number(chosen.id)]!.submit(request);
  };

  const handleEvent = ({ kind, id }: engines.EngineEvent, nowMs: number) => {
    const entry = inFlight.get(id)!;
    const { request, router, lastTokenAtMs } = entry;
    if (kind === 'end') {
      router.onEnd(id, nowMs);
      inFlight.delete(id);
      completedCount += 1;
      outputTokens += request.outputTokens;
      return;
    }
    if (kind === 'first-token') {
      router.onFirstToken(id, nowMs);
      firstTokenMs.push(nowMs - request.atMs);
    } else {
      router.onToken(id, nowMs);
      betweenTokensMs.push(nowMs - lastTokenAtMs!);
    }
    entry.lastTokenAtMs = nowMs;
  };

  const report = (nowMs: number) => {
    groups.forEach((group, index) => {
      const load = {
        runningCount: group.runningCount(),
        waitingCount: group.waitingCount(),
        ageMs: reportLagMs,
      };
      const act = () =>
        routers.forEach((router) => router.onReport(`${index}`, load, nowMs + reportLagMs));
      if (reporting.load) delayed.push({ atMs: nowMs + reportLagMs, act });
      const hints = group.takeCacheEvents().filter(() => random.fraction() >= hintLossFraction);
      const reportHints = () =>
        routers.forEach((router) => router.onCacheEvents(`${index}`, hints, nowMs + hintLagMs));
      if (reporting.cacheEvents) delayed.push({ atMs: nowMs + hintLagMs, act: reportHints });
    });
    delayed.sort((left, right) => left.atMs - right.atMs);
  };

  const lastAtMs = trace.at(-1)?.atMs ?? 0;
  let next = 0;
  let nowMs = 0;
  const advance = () =>
    groups.forEach((group) => group.advance(nowMs).forEach((event) => handleEvent(event, nowMs)));

  for (; nowMs <= lastAtMs + drainMs; nowMs += 1) {
    while (next < trace.length && trace[next]!.atMs <= nowMs) {
      send(trace[next]!, nowMs);
      next += 1;
    }
    advance();
    if (nowMs % reporting.intervalMs === 0) report(nowMs);
    while (delayed.length > 0 && delayed[0]!.atMs <= nowMs) delayed.shift()!.act();
    if (next === trace.length && inFlight.size === 0) break;
  }
  inFlight.forEach(({ request, lastTokenAtMs }) => {
    if (lastTokenAtMs === undefined) firstTokenMs.push(nowMs - request.atMs);
  });

  return {
    firstTokenMs,
    betweenTokensMs,
    cachedTokens: groups.reduce((sum, group) => sum + group.cachedTokens(), 0),
    completedCount,
    outputTokens,
    endedAtMs: nowMs,
  };
};

/** Returns a quantile of the values; 0 if there are none. */
export const quantile = (values: readonly number[], fraction: number): number => {
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
};

/** Returns the number of prompt tokens that an unlimited cache shared by all groups would serve. */
export const countCacheableTokens = (trace: readonly TraceRequest[]): number => {
  const seen = new Set<string>();
  let tokens = 0;
  trace.forEach(({ prefixHashes, promptTokens }) => {
    const firstNew = prefixHashes.findIndex((prefixHash) => !seen.has(prefixHash));
    const cachedBlocks = firstNew === -1 ? prefixHashes.length : firstNew;
    tokens += Math.min(promptTokens - 1, cachedBlocks * tokensPerBlock);
    prefixHashes.forEach((prefixHash) => seen.add(prefixHash));
  });
  return tokens;
};
