import type { CallBudget } from './createCallBudget';
import type { CallPriority } from './PlatformClient';

/** Admits calls in order of priority as the budget allows. */
export interface CallQueue {
  /** Waits for admission; returns false when the queue is full or the wait times out. */
  readonly enter: (priority: CallPriority) => Promise<boolean>;
  /** Rejects all waiting calls. */
  readonly clear: () => void;
  readonly waitingCount: () => number;
}

interface Waiting {
  readonly priority: CallPriority;
  readonly admit: (admitted: boolean) => void;
  readonly timer: NodeJS.Timeout;
}

const priorities: readonly CallPriority[] = ['safety', 'normal', 'background'];
const maxWaitingCount = 256;
const maxWaitMs: Readonly<Record<CallPriority, number>> = {
  safety: 2_000,
  normal: 1_000,
  background: 5_000,
};
const minPumpDelayMs = 5;
const maxPumpDelayMs = 250;

/** Creates a queue whose calls draw on `budget`. */
export const createCallQueue = (budget: CallBudget): CallQueue => {
  const waiting: Waiting[] = [];
  let pumpTimer: NodeJS.Timeout | undefined;

  const leave = (entry: Waiting, admitted: boolean) => {
    const index = waiting.indexOf(entry);
    if (index < 0) return;
    waiting.splice(index, 1);
    clearTimeout(entry.timer);
    entry.admit(admitted);
  };

  const first = () =>
    priorities
      .map((priority) => waiting.find((entry) => entry.priority === priority))
      .find((entry) => entry !== undefined);

  const pump = () => {
    pumpTimer = undefined;
    for (let entry = first(); entry && budget.take(entry.priority); entry = first()) {
      leave(entry, true);
    }
    if (waiting.length === 0) return;
    const delayMs = Math.min(maxPumpDelayMs, Math.max(minPumpDelayMs, budget.waitMs()));
    pumpTimer = setTimeout(pump, delayMs);
  };

  const wait = (priority: CallPriority) =>
    new Promise<boolean>((admit) => {
      const timer = setTimeout(() => {
        const entry = waiting.find((candidate) => candidate.admit === admit);
        if (entry) leave(entry, false);
      }, maxWaitMs[priority]);
      waiting.push({ priority, admit, timer });
      pumpTimer ??= setTimeout(pump, minPumpDelayMs);
    });

  return {
    enter: async (priority) => {
      if (waiting.length === 0 && budget.take(priority)) return true;
      if (waiting.length >= maxWaitingCount) return false;
      return wait(priority);
    },
    clear: () => {
      [...waiting].forEach((entry) => leave(entry, false));
    },
    waitingCount: () => waiting.length,
  };
};
