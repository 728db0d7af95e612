import type * as clocks from '@comfreydrum/clock';

/** A bounded set whose keys expire. */
export interface RecentKeys {
  readonly add: (key: string) => void;
  /** Whether a key was added within the validity. */
  readonly has: (key: string) => boolean;
}

/** Creates a set that keeps each key for a time after it was last added; the oldest are dropped first. */
export const createRecentKeys = (
  clock: clocks.Clock,
  validityMs: number,
  maxKeys: number,
): RecentKeys => {
  /** Oldest first. */
  const addedAtMs = new Map<string, number>();
  return {
    add: (key) => {
      addedAtMs.delete(key);
      addedAtMs.set(key, clock.monotonicMs());
      const [oldest] = addedAtMs.keys();
      if (addedAtMs.size > maxKeys) addedAtMs.delete(oldest!);
    },
    has: (key) => clock.monotonicMs() - (addedAtMs.get(key) ?? -Infinity) < validityMs,
  };
};
