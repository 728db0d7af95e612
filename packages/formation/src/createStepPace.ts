import type * as clocks from '@comfreydrum/clock';

/** Spaces steps by what they cost, so that the process has time for other work. */
export interface StepPace {
  /** Returns the time until the next step may run, in whole milliseconds. */
  readonly waitMs: () => number;
  /** Runs a step and returns the time that it took. */
  readonly run: (step: () => void) => number;
}

/** Steps take at most a fifth of the time. */
const restPerStep = 4;
const maxRestMs = 200;

/** Creates a pace at which the first step may run at once. */
export const createStepPace = (clock: clocks.Clock): StepPace => {
  let nextAtMs = -Infinity;
  return {
    // Timers drop fractions of a millisecond, and would end before the step may run.
    waitMs: () => Math.max(0, Math.ceil(nextAtMs - clock.monotonicMs())),
    run: (step) => {
      const startedAtMs = clock.monotonicMs();
      step();
      const endedAtMs = clock.monotonicMs();
      const tookMs = endedAtMs - startedAtMs;
      nextAtMs = endedAtMs + Math.min(maxRestMs, tookMs * restPerStep);
      return tookMs;
    },
  };
};
