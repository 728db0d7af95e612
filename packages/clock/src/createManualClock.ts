import type { Clock } from './Clock';

/** A clock that advances only on request, for replays and tests. */
export interface ManualClock extends Clock {
  readonly advance: (durationMs: number) => void;
  /** Shifts only the wall clock, as an adjustment of the system time does. */
  readonly shiftWallClock: (offsetMs: number) => void;
}

/** Creates a clock whose monotonic and wall time both start at `startMs`. */
export const createManualClock = (startMs = 0): ManualClock => {
  let monotonicMs = startMs;
  let wallOffsetMs = 0;
  return {
    wallMs: () => monotonicMs + wallOffsetMs,
    monotonicMs: () => monotonicMs,
    advance: (durationMs) => {
      monotonicMs += durationMs;
    },
    shiftWallClock: (offsetMs) => {
      wallOffsetMs += offsetMs;
    },
  };
};
