/** What has been forwarded of a stream so far. */
export interface StreamState {
  /** Id of the last event that the caller has. */
  readonly lastEventId: number | undefined;
  /** Whether all events of this response had ids, so that another run can go on after the last one. */
  readonly isResumable: boolean;
  readonly lastEventAtMs: number | undefined;
  /** Number of events forwarded in this response. */
  readonly eventCount: number;
  readonly firstEventAtMs: number | undefined;
  /** The longest time between two events of this response. */
  readonly maxGapMs: number;
}

/** Tracks the progress of one stream across all of its runs. */
export interface StreamProgress {
  readonly read: () => StreamState;
  /** Returns the header content-type of the response, once its head is written. */
  readonly contentType: () => string | undefined;
  readonly onHead: (contentType: string | undefined) => void;
  readonly onEvent: (id: number | undefined, nowMs: number) => void;
}

/** Creates the progress of a stream that resumes after `lastEventId`, if the caller already has that event. */
export const createStreamProgress = (lastEventId: number | undefined): StreamProgress => {
  let state: StreamState = {
    lastEventId,
    isResumable: true,
    lastEventAtMs: undefined,
    eventCount: 0,
    firstEventAtMs: undefined,
    maxGapMs: 0,
  };

  let contentType: string | undefined;

  return {
    read: () => state,
    contentType: () => contentType,
    onHead: (sent) => {
      contentType = sent;
    },
    onEvent: (id, nowMs) => {
      const gapMs = nowMs - (state.lastEventAtMs ?? nowMs);
      state = {
        lastEventId: id ?? state.lastEventId,
        isResumable: state.isResumable && id !== undefined,
        lastEventAtMs: nowMs,
        eventCount: state.eventCount + 1,
        firstEventAtMs: state.firstEventAtMs ?? nowMs,
        maxGapMs: Math.max(state.maxGapMs, gapMs),
      };
    },
  };
};
