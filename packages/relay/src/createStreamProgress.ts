/** What the caller has of a stream so far. */
export interface StreamState {
  /** The last whole event passed on. */
  readonly lastEventId: number | undefined;
  readonly lastEventAtMs: number | undefined;
  /** How many events this response has. */
  readonly eventCount: number;
  readonly firstEventAtMs: number | undefined;
  /** The longest time between two events of this response. */
  readonly maxGapMs: number;
}

/** Follows one stream over all of its runs. */
export interface StreamProgress {
  readonly read: () => StreamState;
  readonly onEvent: (id: number | undefined, nowMs: number) => void;
}

/** Creates the progress of a stream that goes on after an event that the caller already has, if any. */
export const createStreamProgress = (lastEventId: number | undefined): StreamProgress => {
  let state: StreamState = {
    lastEventId,
    lastEventAtMs: undefined,
    eventCount: 0,
    firstEventAtMs: undefined,
    maxGapMs: 0,
  };

  return {
    read: () => state,
    onEvent: (id, nowMs) => {
      const gapMs = nowMs - (state.lastEventAtMs ?? nowMs);
      state = {
        lastEventId: id ?? state.lastEventId,
        lastEventAtMs: nowMs,
        eventCount: state.eventCount + 1,
        firstEventAtMs: state.firstEventAtMs ?? nowMs,
        maxGapMs: Math.max(state.maxGapMs, gapMs),
      };
    },
  };
};
