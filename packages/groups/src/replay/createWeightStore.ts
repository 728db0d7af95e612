/** A simulated weight store, whose rate is shared by the loads in virtual time. */
export interface WeightStore {
  /** Starts a load that takes `workMs` at full rate; replaces a load with the same key. */
  readonly start: (key: string, workMs: number, nowMs: number) => void;
  readonly cancel: (key: string, nowMs: number) => void;
  /**
   * Returns when the next load completes, if none starts or is cancelled before; infinite without
   * loads.
   */
  readonly nextCompletionMs: (nowMs: number) => number;
  /** Removes the loads that have completed and returns their keys. */
  readonly takeCompleted: (nowMs: number) => readonly string[];
}

const completionToleranceMs = 0.001;

/**
 * Creates a store at which up to `fullRateLoads` loads run at full rate; more loads share that rate
 * evenly.
 */
export const createWeightStore = (fullRateLoads: number): WeightStore => {
  const remainingMs = new Map<string, number>();
  let advancedToMs = 0;

  const rate = () => Math.min(1, fullRateLoads / Math.max(1, remainingMs.size));

  const advance = (nowMs: number) => {
    const doneMs = (nowMs - advancedToMs) * rate();
    advancedToMs = nowMs;
    if (doneMs > 0)
      remainingMs.forEach((remaining, key) => remainingMs.set(key, remaining - doneMs));
  };

  return {
    start: (key, workMs, nowMs) => {
      advance(nowMs);
      remainingMs.set(key, workMs);
    },
    cancel: (key, nowMs) => {
      advance(nowMs);
      remainingMs.delete(key);
    },
    nextCompletionMs: (nowMs) => {
      advance(nowMs);
      return remainingMs.size === 0
        ? Infinity
        : nowMs + Math.max(0, Math.min(...remainingMs.values())) / rate();
    },
    takeCompleted: (nowMs) => {
      advance(nowMs);
      const completedKeys = [...remainingMs]
        .filter(([, remaining]) => remaining <= completionToleranceMs)
        .map(([key]) => key);
      completedKeys.forEach((key) => remainingMs.delete(key));
      return completedKeys;
    },
  };
};
