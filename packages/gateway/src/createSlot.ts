import type * as routing from '@comfreydrum/routing';
import type { Candidate, Slot } from './SlotPool';

/** Options of a slot. */
export interface SlotOptions {
  readonly candidate: Candidate;
  /** The number of candidates in the choice. */
  readonly candidateCount: number;
  readonly router: routing.Router;
  readonly request: routing.RouteRequest;
  readonly limiter: routing.ConcurrencyLimiter;
  readonly nowMs: () => number;
  /** Called once on release, with the number of tokens received. */
  readonly onRelease: (tokenCount: number) => void;
  /** Called once if the slot is cancelled because nothing was sent. */
  readonly onCancel: () => void;
}

/** Creates a slot and records the dispatch of its request. */
export const createSlot = (options: SlotOptions): Slot => {
  const { candidate, router, request, limiter, nowMs } = options;
  const dispatchedAtMs = nowMs();
  let lastTokenAtMs: number | undefined;
  let tokenCount = 0;
  let isFinished = false;
  const choice = `least expected time to the first token of ${options.candidateCount} candidates; ${router.inFlight(candidate.id)} of ${candidate.maxConcurrent} slots taken here`;
  router.onDispatch(candidate, request, dispatchedAtMs);

  const finish = (notify: () => void) => {
    if (isFinished) return;
    isFinished = true;
    router.onEnd(request.id, nowMs());
    notify();
  };

  return {
    candidate,
    choice,
    onToken: () => {
      const atMs = nowMs();
      const inFlight = router.inFlight(candidate.id);
      tokenCount += 1;
      if (lastTokenAtMs === undefined) {
        router.onFirstToken(request.id, atMs);
        limiter.onFirstToken(atMs - dispatchedAtMs, inFlight, atMs);
      } else {
        router.onToken(request.id, atMs);
        limiter.onBetweenTokens(atMs - lastTokenAtMs, inFlight, atMs);
      }
      lastTokenAtMs = atMs;
    },
    release: () => finish(() => options.onRelease(tokenCount)),
    cancel: () => finish(options.onCancel),
  };
};
