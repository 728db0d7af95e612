import type { Candidate, RouteRequest, TargetObserver } from './Router';
import * as regressions from './createLinearRegression';
import * as prefixes from './createPrefixIndex';

/** Read access to the estimated state of the targets. */
export interface TargetView {
  /** Returns how many requests of this process are in flight on a target. */
  readonly inFlight: (targetId: string) => number;
  /** Returns the estimated number of requests of all processes that are in flight on a target. */
  readonly estimatedInFlight: (targetId: string) => number;
  /** Returns the prompt tokens that a target has to process before those of a new request. */
  readonly pendingTokens: (targetId: string) => number;
  /** Returns the prompt tokens of a request that are not in the cache of a target. */
  readonly uncachedTokens: (candidate: Candidate, request: RouteRequest, nowMs: number) => number;
  /**
   * Returns the ratio of a target's average time between tokens to that of all targets (geometric moving
   * averages), limited to 1/20 to 20; decays to 1 while the target produces no tokens.
   */
  readonly slowdownFactor: (targetId: string, nowMs: number) => number;
  /** Returns the targets believed to have the longest known prefix of the prompt cached. */
  readonly targetsWithLongestPrefix: (request: RouteRequest, nowMs: number) => readonly string[];
  /** Returns the estimated time to process one prompt token, one estimate for all targets. */
  readonly msPerPromptToken: () => number;
  /** Returns the mean time from the dispatch to the end of a request, over all targets. */
  readonly meanServiceMs: () => number;
}

/** Estimates the state of the targets from the events that it observes. */
export interface TargetStates extends TargetView, TargetObserver {}

interface TargetState {
  /** The `Candidate.generation` that these observations belong to; a newer one starts a new state. */
  generation: number;
  inFlightCount: number;
  pendingCount: number;
  pendingTokens: number;
  /** Requests of other processes on the target, derived from its latest load report. */
  othersInFlight: number;
  othersWaiting: number;
  /** Moving average of the logarithm of the time between tokens. */
  logIntervalMs: number | undefined;
  lastIntervalAtMs: number;
}

interface DispatchedRequest {
  readonly targetId: string;
  readonly state: TargetState;
  readonly sentAtMs: number;
  readonly uncachedTokens: number;
  /** Prompt tokens that the target had to process before the first token of this request. */
  readonly tokensToFirst: number;
  lastTokenAtMs: number | undefined;
}

/** Above this number, states of targets without requests in flight are dropped. */
const maxTargets = 4_096;
const tokenSmoothing = 0.05;
const overallSmoothing = 0.005;
const promptSmoothing = 0.02;
const serviceSmoothing = 0.02;
const slowdownDecayMs = 20_000;
const maxSlowdown = 20;
const initialPromptTokens = 512;
const initialMsPerPromptToken = 0.1;
const initialServiceMs = 5_000;

const smooth = (mean: number | undefined, sample: number, weight: number) =>
  mean === undefined ? sample : mean + weight * (sample - mean);

const createTargetState = (generation: number): TargetState => ({
  generation,
  inFlightCount: 0,
  pendingCount: 0,
  pendingTokens: 0,
  othersInFlight: 0,
  othersWaiting: 0,
  logIntervalMs: undefined,
  lastIntervalAtMs: 0,
});

/** Creates target states without any observations. */
export const createTargetStates = (
  index: prefixes.PrefixIndex = prefixes.createPrefixIndex(),
): TargetStates => {
  const states = new Map<string, TargetState>();
  const dispatchedById = new Map<string, DispatchedRequest>();
  let overallLogIntervalMs: number | undefined;
  const firstTokenRegression = regressions.createLinearRegression(promptSmoothing);
  let meanPromptTokens = initialPromptTokens;
  let meanServiceMs = initialServiceMs;

  const dropIdle = () => {
    for (const [targetId, state] of states) {
      if (states.size <= maxTargets) return;
      if (state.inFlightCount === 0) states.delete(targetId);
    }
  };

  const stateOf = ({ id, generation }: Pick<Candidate, 'id' | 'generation'>): TargetState => {
    const known = states.get(id);
    if (known && known.generation >= generation) return known;
    const state = createTargetState(generation);
    states.delete(id);
    states.set(id, state);
    dropIdle();
    return state;
  };

  const pendingTokens = (targetId: string) => {
    const state = states.get(targetId);
    return state ? state.pendingTokens + state.othersWaiting * meanPromptTokens : 0;
  };

  const uncachedTokens = (candidate: Candidate, request: RouteRequest, nowMs: number) => {
    const { prefixHashes, promptTokens } = request;
    const generation = states.get(candidate.id)?.generation ?? candidate.generation;
    if (prefixHashes.length === 0 || generation < candidate.generation) return promptTokens;
    const heldBlocks = index.heldBlocks(candidate.id, prefixHashes, nowMs);
    // The text after the last whole block has no hash and counts as one more block.
    return promptTokens * (1 - heldBlocks / (prefixHashes.length + 1));
  };

  const endPending = ({ state, uncachedTokens: tokens }: DispatchedRequest) => {
    Object.assign(state, {
      pendingCount: state.pendingCount - 1,
      pendingTokens: state.pendingTokens - tokens,
    });
  };

  const recordTokenInterval = (state: TargetState, durationMs: number, nowMs: number) => {
    const sample = Math.log(Math.max(0.1, durationMs));
    Object.assign(state, {
      logIntervalMs: smooth(state.logIntervalMs, sample, tokenSmoothing),
      lastIntervalAtMs: nowMs,
    });
    overallLogIntervalMs = smooth(overallLogIntervalMs, sample, overallSmoothing);
  };

  return {
    inFlight: (targetId) => states.get(targetId)?.inFlightCount ?? 0,
    estimatedInFlight: (targetId) => {
      const state = states.get(targetId);
      return state ? state.inFlightCount + state.othersInFlight : 0;
    },
    pendingTokens,
    uncachedTokens,
    slowdownFactor: (targetId, nowMs) => {
      const state = states.get(targetId);
      if (state?.logIntervalMs === undefined || overallLogIntervalMs === undefined) return 1;
      const decay = Math.exp((state.lastIntervalAtMs - nowMs) / slowdownDecayMs);
      const slowdown = Math.exp((state.logIntervalMs - overallLogIntervalMs) * decay);
      return Math.min(maxSlowdown, Math.max(1 / maxSlowdown, slowdown));
    },
    targetsWithLongestPrefix: (request, nowMs) => index.holders(request.prefixHashes, nowMs),
    msPerPromptToken: () => firstTokenRegression.slope(initialMsPerPromptToken),
    meanServiceMs: () => meanServiceMs,
    onDispatch: (candidate, request, nowMs) => {
      const state = stateOf(candidate);
      const uncached = uncachedTokens(candidate, request, nowMs);
      const tokensToFirst = pendingTokens(candidate.id) + uncached;
      state.inFlightCount += 1;
      state.pendingCount += 1;
      state.pendingTokens += uncached;
      meanPromptTokens = smooth(meanPromptTokens, request.promptTokens, promptSmoothing);
      dispatchedById.set(request.id, {
        targetId: candidate.id,
        state,
        sentAtMs: nowMs,
        uncachedTokens: uncached,
        tokensToFirst,
        lastTokenAtMs: undefined,
      });
      index.add(candidate.id, request.prefixHashes, nowMs);
    },
    onFirstToken: (requestId, nowMs) => {
      const dispatched = dispatchedById.get(requestId);
      if (!dispatched || dispatched.lastTokenAtMs !== undefined) return;
      dispatched.lastTokenAtMs = nowMs;
      endPending(dispatched);
      firstTokenRegression.add(dispatched.tokensToFirst, nowMs - dispatched.sentAtMs);
    },
    onToken: (requestId, nowMs) => {
      const dispatched = dispatchedById.get(requestId);
      if (dispatched?.lastTokenAtMs === undefined) return;
      recordTokenInterval(dispatched.state, nowMs - dispatched.lastTokenAtMs, nowMs);
      dispatched.lastTokenAtMs = nowMs;
    },
    onEnd: (requestId, nowMs) => {
      const dispatched = dispatchedById.get(requestId);
      if (!dispatched) return;
      dispatchedById.delete(requestId);
      dispatched.state.inFlightCount -= 1;
      if (dispatched.lastTokenAtMs === undefined) endPending(dispatched);
      meanServiceMs = smooth(meanServiceMs, nowMs - dispatched.sentAtMs, serviceSmoothing);
    },
    onReport: (targetId, report) => {
      const state = states.get(targetId);
      if (!state) return;
      const reported = report.runningCount + report.waitingCount;
      state.othersInFlight = Math.max(0, reported - state.inFlightCount);
      state.othersWaiting = Math.max(0, report.waitingCount - state.pendingCount);
    },
    onCacheEvents: (targetId, events, nowMs) =>
      events.forEach(({ kind, prefixHash }) => {
        if (kind === 'stored') index.add(targetId, [prefixHash], nowMs);
        else index.remove(targetId, prefixHash);
      }),
  };
};
