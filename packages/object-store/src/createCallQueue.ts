import type { CallBudget } from './createCallBudget';
import type { CallPriority } from './PlatformClient';

/** Admits calls in order of priority as the budget allows. */
export interface CallQueue {
  /** Waits for admission; returns false when the queue is full or the wait times out. */
  readonly acquire: (priority: CallPriority) => Promise<boolean>;
  /** Rejects all waiting calls. */
  readonly rejectAll: () => void;
  readonly waitingCount: () => number;
}

interface WaitingCall {
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
const minAdmissionDelayMs = 5;
const maxAdmissionDelayMs = 250;

/** Creates a queue whose calls draw on `budget`. */
export const createCallQueue = (budget: CallBudget): CallQueue => {
  const waiting: WaitingCall[] = [];
  let admissionTimer: NodeJS.Timeout | undefined;

  const settle = (entry: WaitingCall, admitted: boolean) => {
    const index = waiting.indexOf(entry);
    if (index < 0) return;
    waiting.splice(index, 1);
    clearTimeout(entry.timer);
    entry.admit(admitted);
  };

  const findNext = () =>
    priorities
      .map((priority) => waiting.find((entry) => entry.priority === priority))
      .find((entry) => entry !== undefined);

  const admitNext = () => {
    admissionTimer = undefined;
    for (let entry = findNext(); entry && budget.tryAcquire(entry.priority); entry = findNext()) {
      settle(entry, true);
    }
    if (waiting.length === 0) return;
    const delayMs = Math.min(maxAdmissionDelayMs, Math.max(minAdmissionDelayMs, budget.waitMs()));
    admissionTimer = setTimeout(admitNext, delayMs);
  };

  const enqueue = (priority: CallPriority) =>
    new Promise<boolean>((admit) => {
      const timer = setTimeout(() => {
        const entry = waiting.find((candidate) => candidate.admit === admit);
        if (entry) settle(entry, false);
      }, maxWaitMs[priority]);
      waiting.push({ priority, admit, timer });
      admissionTimer ??= setTimeout(admitNext, minAdmissionDelayMs);
    });

  return {
    acquire: async (priority) => {
      if (waiting.length === 0 && budget.tryAcquire(priority)) return true;
      if (waiting.length >= maxWaitingCount) return false;
      return enqueue(priority);
    },
    rejectAll: () => {
      [...waiting].forEach((entry) => settle(entry, false));
    },
    waitingCount: () => waiting.length,
  };
};
