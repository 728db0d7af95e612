export interface RetryBudgetOptions {
  /** Retries earned per first attempt; 0 denies all retries, even if some were earned before. */
  readonly fraction: number;
  /** Maximum number of retries that can be accumulated, and the initial balance. */
  readonly reserve?: number;
}

/** A retry for which permission is requested. */
export interface RetryRequest {
  readonly targetId: string;
  readonly triedIds: ReadonlySet<string>;
  readonly deadlineAtMs: number;
  /** Expected duration of the retry. */
  readonly expectedMs: number;
  /** Whether the request may succeed without this retry; such a retry leaves part of the reserve to others. */
  readonly isOptional?: boolean;
}

/** Whether a retry may be made, and why not. */
export type RetryDecision =
  | { readonly kind: 'allowed' }
  | { readonly kind: 'denied'; readonly reason: 'budget-spent' | 'past-deadline' | 'target-tried' };

/** Limits retries to a fraction of the first attempts. */
export interface RetryBudget {
  readonly onFirstAttempt: () => void;
  /** Reports whether the balance allows a retry now; an optional one leaves part of the reserve. */
  readonly canRetry: (isOptional: boolean) => boolean;
  /** Decides on a retry and deducts it from the budget if it is allowed. */
  readonly tryRetry: (request: RetryRequest, nowMs: number) => RetryDecision;
  readonly setFraction: (fraction: number) => void;
  /** Sets the maximum number of retries that can be accumulated. */
  readonly setReserve: (reserve: number) => void;
}

const defaultReserve = 10;
/** Part of the reserve that optional retries leave to requests that fail without a retry. */
const requiredReserveFraction = 0.25;

/** Creates a budget with a full reserve. */
export const createRetryBudget = (options: RetryBudgetOptions): RetryBudget => {
  let { fraction, reserve = defaultReserve } = options;
  let balance = reserve;

  const canRetry = (isOptional: boolean): boolean =>
    fraction > 0 && balance >= 1 + (isOptional ? reserve * requiredReserveFraction : 0);

  return {
    onFirstAttempt: () => {
      balance = Math.min(reserve, balance + fraction);
    },
    canRetry,
    tryRetry: (request, nowMs) => {
      if (request.triedIds.has(request.targetId)) {
        return { kind: 'denied', reason: 'target-tried' };
      }
      if (nowMs + request.expectedMs > request.deadlineAtMs) {
        return { kind: 'denied', reason: 'past-deadline' };
      }
      if (!canRetry(request.isOptional ?? false)) return { kind: 'denied', reason: 'budget-spent' };
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
