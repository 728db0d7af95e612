type Task = () => Promise<void> | void;

/** Runs delayed and periodic tasks until stopped. */
export interface Schedule {
  /** Runs `task` periodically, varying each interval at random by up to 10 %. */
  readonly every: (intervalMs: () => number, task: Task) => void;
  /** Runs `task` once after `delayMs`. */
  readonly after: (delayMs: number, task: Task) => void;
  readonly stop: () => void;
}

const jitterFraction = 0.1;

/** Creates a schedule without tasks; `onError` is called with the error of a failed task. */
export const createSchedule = (
  random: () => number,
  onError: (cause: unknown) => void,
): Schedule => {
  const timers = new Set<NodeJS.Timeout>();
  let stopped = false;

  const run = async (task: Task) => {
    try {
      await task();
    } catch (cause) {
      onError(cause);
    }
  };

  const after: Schedule['after'] = (delayMs, task) => {
    if (stopped) return;
    const timer = setTimeout(() => {
      timers.delete(timer);
      void run(task);
    }, delayMs);
    timers.add(timer);
  };

  const every: Schedule['every'] = (intervalMs, task) => {
    const factor = 1 + jitterFraction * (2 * random() - 1);
    after(intervalMs() * factor, () => {
      every(intervalMs, task);
      return task();
    });
  };

  return {
    every,
    after,
    stop: () => {
      stopped = true;
      timers.forEach((timer) => clearTimeout(timer));
      timers.clear();
    },
  };
};
