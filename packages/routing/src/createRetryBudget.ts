/** How a retry budget is set up. */
export interface RetryBudgetOptions {
  /** Retries allowed per first try; none at all when 0, whatever is saved up. */
  readonly fraction: number;
  /** Retries that may be saved up, and that a quiet process starts with. */
  readonly reserve?: number;
}

/** A retry that is being weighed. */
export interface RetryQuestion {
  readonly targetId: string;
  readonly triedIds: ReadonlySet<string>;
  readonly deadlineAtMs: number;
  /** How long the retry is expected to take. */
  readonly expectedMs: number;
}

/** Whether a retry may be made, and why not. */
export type RetryDecision =
  | { readonly kind: 'allowed' }
  | { readonly kind: 'denied'; readonly reason: 'budget-spent' | 'past-deadline' | 'target-tried' };

/** Keeps retries to a fraction of the traffic. */
export interface RetryBudget {
  /** Counts a first try. */
  readonly onFirstTry: () => void;
  /** Takes one retry out of the budget when it is allowed. */
  readonly tryRetry: (question: RetryQuestion, nowMs: number) => RetryDecision;
  readonly setFraction: (fraction: number) => void;
  /** Changes how many retries may be saved up. */
  readonly setReserve: (reserve: number) => void;
}

const defaultReserve = 10;

/** Creates a budget that holds its whole reserve. */
export const createRetryBudget = (options: RetryBudgetOptions): RetryBudget => {
  let { fraction, reserve = defaultReserve } = options;
  let balance = reserve;

  return {
    onFirstTry: () => {
      balance = Math.min(reserve, balance + fraction);
    },
    tryRetry: (question, nowMs) => {
      if (question.triedIds.has(question.targetId)) {
        return { kind: 'denied', reason: 'target-tried' };
      }
      if (nowMs + question.expectedMs > question.deadlineAtMs) {
        return { kind: 'denied', reason: 'past-deadline' };
      }
      if (fraction === 0 || balance < 1) return { kind: 'denied', reason: 'budget-spent' };
      balance -= 1;
      return { kind: 'allowed' };
    },
    setFraction: (nextFraction) => {
      fraction = nextFraction;
    },
    setReserve: (nextReserve) => {
      reserve = nextReserve;
      balance = Math.min(balance, reserve);
    },
  };
};
