import type { Random } from './createRandom';
import * as states from './createTargetStates';
import type { Candidate, Router } from './Router';
import type { RouteStrategy } from './RouteStrategy';

export interface RouterOptions {
  readonly strategy: RouteStrategy;
  readonly random: Random;
  readonly targets?: states.TargetStates;
}

/**
 * Creates a router that selects targets by `strategy`. Candidate lists must not be modified after
 * they are passed in, as the index of each list is cached.
 */
export const createRouter = (options: RouterOptions): Router => {
  const { strategy, random, targets = states.createTargetStates() } = options;
  const indexOfList = new WeakMap<readonly Candidate[], ReadonlyMap<string, Candidate>>();

  const indexOf = (candidates: readonly Candidate[]) => {
    const known = indexOfList.get(candidates);
    if (known) return known;
    const index = new Map(candidates.map((candidate) => [candidate.id, candidate]));
    indexOfList.set(candidates, index);
    return index;
  };

  return {
    choose: (candidates, request, nowMs) =>
      strategy.choose({
        candidates,
        candidateById: indexOf(candidates),
        request,
        targets,
        random,
        nowMs,
      }),
    onDispatch: targets.onDispatch,
    onFirstToken: targets.onFirstToken,
    onToken: targets.onToken,
    onEnd: targets.onEnd,
    onReport: targets.onReport,
    onCacheEvents: targets.onCacheEvents,
    inFlight: targets.inFlight,
    slowdownFactor: targets.slowdownFactor,
  };
};
