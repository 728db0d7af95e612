/** What is known when a stream has brought nothing for a while. */
export interface SilenceQuestion {
  readonly nowMs: number;
  readonly sentAtMs: number;
  /** When the last event came; undefined before the first. */
  readonly lastEventAtMs: number | undefined;
  /** Since when no stream of the same head has brought anything. */
  readonly headSilentSinceMs: number;
  /** The usual time between two events at this head. */
  readonly expectedGapMs: number;
  /** The time in which the next event is still on time. */
  readonly targetMs: number;
}

/**
 * What to do about it.
 *
 * - `ask`: the members of the group are asked whether they live.
 * - `head-stands-still`, `stream-hangs`: the stream goes on elsewhere without asking.
 */
export type SilenceVerdict = 'wait' | 'ask' | 'head-stands-still' | 'stream-hangs';

/** Passes take a few times longer while prompts are read. */
const maxMissedGaps = 3;
/** Links with delay fit into this. */
const minStallMs = 90;
/** Asking takes time as well, so it begins within this part of the time in which the next event is on time. */
const targetFraction = 0.5;
/** Whatever its members say, a head that brings nothing for so long is cut off from one, or hangs. */
const headStallMs = 900;
/** A stream that has begun and is overtaken by others of its head for so long hangs. */
const streamHangMs = 1_000;
/** Before its first event it may also wait its turn at a head that is full. */
const firstEventHangMs = 1_800;

/**
 * Judges whether a stream should go on elsewhere. A head with a dead or cut-off member stands still for all
 * of its streams at once and says nothing; one stream alone may also wait its turn.
 *
 * Answers the load of groups that lose members while their batches are not over-full.
 */
export const judgeSilence = (observation: SilenceQuestion): SilenceVerdict => {
  const { nowMs, sentAtMs, lastEventAtMs, headSilentSinceMs, expectedGapMs, targetMs } =
    observation;
  const streamSilentMs = nowMs - (lastEventAtMs ?? sentAtMs);
  const headSilentMs = Math.min(streamSilentMs, nowMs - headSilentSinceMs);
  const checkLimitMs = Math.max(
    minStallMs,
    Math.min(maxMissedGaps * expectedGapMs, targetFraction * targetMs),
  );
  if (headSilentMs >= headStallMs) return 'head-stands-still';
  if (headSilentMs >= checkLimitMs) return 'ask';
  const hangLimitMs = lastEventAtMs === undefined ? firstEventHangMs : streamHangMs;
  return streamSilentMs >= hangLimitMs ? 'stream-hangs' : 'wait';
};
