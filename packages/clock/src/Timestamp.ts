import type { Clock } from './Clock';

/** A point in time, as read from both the monotonic and the wall clock. */
export interface Timestamp {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Returns the current time of both clocks. */
export const readTimestamp = (clock: Clock): Timestamp => ({
  monotonicMs: clock.monotonicMs(),
  wallMs: clock.wallMs(),
});

/**
 * Returns an upper bound on the time elapsed since `start`: the larger of the two clock differences.
 * The monotonic clock may not advance while the machine is suspended, and the wall clock may be set
 * back.
 */
export const maxElapsedMs = (clock: Clock, start: Timestamp): number =>
  Math.max(clock.monotonicMs() - start.monotonicMs, clock.wallMs() - start.wallMs);

/** Returns the timestamp `durationMs` before `timestamp` on both clocks. */
export const subtractDuration = (timestamp: Timestamp, durationMs: number): Timestamp => ({
  monotonicMs: timestamp.monotonicMs - durationMs,
  wallMs: timestamp.wallMs - durationMs,
});
