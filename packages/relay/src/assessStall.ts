/** The state of a stream that is checked for a stall. */
export interface StreamObservation {
  readonly nowMs: number;
  readonly sentAtMs: number;
  /** When the last event arrived; undefined before the first. */
  readonly lastEventAtMs: number | undefined;
  /** Since when no stream of the same head has received any data. */
  readonly headSilentSinceMs: number;
  /** The usual time between two events at this head. */
  readonly expectedGapMs: number;
  /** The latency target of the next event. */
  readonly targetMs: number;
}

/**
 * The action to take on a stream.
 *
 * - `wait`: keep waiting for the next event.
 * - `probe`: probe the members of the group.
 * - `head-stands-still`, `stream-hangs`: hedge the stream at another head without probing.
 */
export type StallAssessment = 'wait' | 'probe' | 'head-stands-still' | 'stream-hangs';

/** Number of expected gaps to wait before a check, as steps take a few times longer while prompts are processed. */
const maxMissedGaps = 3;
/** Lower bound of the wait before a check; tolerates links with added latency. */
const minStallMs = 90;
/** Fraction of the latency target after which members are probed, which leaves time for the probe itself. */
const targetFraction = 0.5;
/** A head without any data for this long is cut off from a member or hangs, even if all members respond. */
const headStallMs = 900;
/** A started stream hangs if it gets no event for this long while other streams of its head do. */
const streamHangMs = 1_000;
/** Limit before the first event, when a stream may also be queued at a full head. */
const firstEventHangMs = 1_800;

/**
 * Decides whether a stream has stalled and should be hedged at another head. A head with a dead or disconnected member
 * stops all of its streams at once without reporting an error, whereas a single silent stream may just be queued.
 *
 * Designed for groups that lose members while their batches are not overfull.
 */
export const assessStall = (observation: StreamObservation): StallAssessment => {
  const { nowMs, sentAtMs, lastEventAtMs, headSilentSinceMs, expectedGapMs, targetMs } =
    observation;
  const streamSilentMs = nowMs - (lastEventAtMs ?? sentAtMs);
  const headSilentMs = Math.min(streamSilentMs, nowMs - headSilentSinceMs);
  const checkLimitMs = Math.max(
    minStallMs,
    Math.min(maxMissedGaps * expectedGapMs, targetFraction * targetMs),
  );
  if (headSilentMs >= headStallMs) return 'head-stands-still';
  if (headSilentMs >= checkLimitMs) return 'probe';
  const hangLimitMs = lastEventAtMs === undefined ? firstEventHangMs : streamHangMs;
  return streamSilentMs >= hangLimitMs ? 'stream-hangs' : 'wait';
};
