import type { Clock } from './Clock';

/** A moment read on both clocks. */
export interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Reads both clocks. */
export const readMoment = (clock: Clock): Moment => ({
  monotonicMs: clock.monotonicMs(),
  wallMs: clock.wallMs(),
});

/**
 * Gives the most time that can have passed since `moment`. The monotonic clock may leave out a
 * suspension of the machine, and the wall clock may be set back; the larger reading is on the safe side.
 */
export const maxElapsedMs = (clock: Clock, moment: Moment): number =>
  Math.max(clock.monotonicMs() - moment.monotonicMs, clock.wallMs() - moment.wallMs);

/** Gives the moment that lies `durationMs` before another one, by both clocks. */
export const momentBefore = (moment: Moment, durationMs: number): Moment => ({
  monotonicMs: moment.monotonicMs - durationMs,
  wallMs: moment.wallMs - durationMs,
});
