import type * as clock from '@comfreydrum/clock';

/** Longer than the occasional network partitions between regions. */
const retentionMs = 2 * 3_600_000;

/**
 * Returns the highest count of the last hours. Members behind a network partition still call the
 * platform, so this daemon must not raise its share of the rate when it loses contact with them.
 */
export const createRecentMaximum = (
  systemClock: clock.Clock,
  count: () => number,
): (() => number) => {
  let highest = 0;
  let seenAtMs = 0;
  return () => {
    const now = count();
    const nowMs = systemClock.monotonicMs();
    if (now >= highest || nowMs - seenAtMs > retentionMs) {
      highest = now;
      seenAtMs = nowMs;
    }
    return highest;
  };
};
