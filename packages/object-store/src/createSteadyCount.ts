import type * as clock from '@comfreydrum/clock';

/** Longer than regions lose each other for now and then. */
const memoryMs = 2 * 3_600_000;

/**
 * Gives the highest count of the last hours. Members that a partition hides still call the platform,
 * so losing sight of them must not raise the share of this daemon.
 */
export const createSteadyCount = (
  systemClock: clock.Clock,
  count: () => number,
): (() => number) => {
  let highest = 0;
  let seenAtMs = 0;
  return () => {
    const now = count();
    const nowMs = systemClock.monotonicMs();
    if (now >= highest || nowMs - seenAtMs > memoryMs) {
      highest = now;
      seenAtMs = nowMs;
    }
    return highest;
  };
};
