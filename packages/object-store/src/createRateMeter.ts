import type * as clock from '@comfreydrum/clock';

/** Measures the recent rate of events. */
export interface RateMeter {
  readonly count: () => void;
  readonly perSecond: () => number;
}

const windowMs = 10_000;
const msPerSecond = 1_000;

/** Creates a meter over a sliding window of ten seconds in steps of one second. */
export const createRateMeter = (systemClock: clock.Clock): RateMeter => {
  const counts = new Map<number, number>();
  const currentStep = () => Math.floor(systemClock.monotonicMs() / msPerSecond);

  const deleteExpired = () =>
    counts.forEach((_, step) => {
      if (step <= currentStep() - windowMs / msPerSecond) counts.delete(step);
    });

  return {
    count: () => {
      deleteExpired();
      const step = currentStep();
      counts.set(step, (counts.get(step) ?? 0) + 1);
    },
    perSecond: () => {
      deleteExpired();
      const total = [...counts.values()].reduce((sum, value) => sum + value, 0);
      return (total * msPerSecond) / windowMs;
    },
  };
};
