import * as shares from './createDemandShares';

/** The limits of a customer, which apply to all daemons together. */
export interface CustomerLimits {
  readonly requestsPerSecond?: number | undefined;
  readonly maxConcurrent?: number | undefined;
}

/** Whether a request is within its customer's limits. */
export type LimitDecision =
  | { readonly kind: 'allowed' }
  | {
      readonly kind: 'denied';
      readonly limit: 'requests-per-second' | 'max-concurrent';
      readonly retryAfterMs: number;
    };

/** The demand on one daemon, as it reports it to the others. */
export interface CustomerDemandUpdate {
  readonly rates: shares.DemandUpdate;
  readonly concurrency: shares.DemandUpdate;
}

/** Enforces the limits of customers, which all daemons share. */
export interface CustomerLimiter {
  /** Counts a request; one that is over a limit is refused for good and not counted as running. */
  readonly tryStart: (customer: string, limits: CustomerLimits, nowMs: number) => LimitDecision;
  /** Records the end of a request that was within the limits. */
  readonly end: (customer: string) => void;
  readonly onUpdate: (
    origin: string,
    update: CustomerDemandUpdate,
    remainingMs: number,
    nowMs: number,
  ) => void;
  readonly setLiveCount: (liveCount: number, nowMs: number) => void;
  /**
   * Returns the update to publish now, valid for `defaultUpdateLifetimeMs`; undefined if nothing
   * has to be published. Must be called about once per second.
   */
  readonly takeUpdate: (nowMs: number) => CustomerDemandUpdate | undefined;
}

interface CustomerState {
  /** Requests that may start now under the rate limit, as a token bucket. */
  allowance: number;
  allowanceAtMs: number;
  runningCount: number;
  /**
   * Peak number of requests that were running or tried to start at one time since the last update.
   */
  peakCount: number;
  limits: CustomerLimits;
  /**
   * Requests received in the current window; `requestedPerSecond` is the rate of the previous
   * window.
   */
  requestedCount: number;
  windowStartMs: number;
  requestedPerSecond: number;
}

const demandWindowMs = 1_000;
const msPerSecond = 1_000;
/** Size of the largest burst, as the time in which the rate allows that many requests. */
const burstMs = 1_000;
const concurrencyRetryAfterMs = 1_000;
const maxRetryAfterMs = 30_000;
const maxCustomers = 10_000;

/** Creates a limiter that assumes no other daemon until `setLiveCount` is called. */
export const createCustomerLimiter = (
  options: shares.DemandSharesOptions = {},
): CustomerLimiter => {
  const rates = shares.createDemandShares(options);
  const concurrency = shares.createDemandShares(options);
  const states = new Map<string, CustomerState>();

  const dropIdle = () => {
    for (const [customer, state] of states) {
      if (states.size <= maxCustomers) return;
      if (state.runningCount === 0) states.delete(customer);
    }
  };

  const stateOf = (customer: string, limits: CustomerLimits, nowMs: number): CustomerState => {
    const known = states.get(customer);
    if (known) return Object.assign(known, { limits });
    const state = {
      allowance: 1,
      allowanceAtMs: nowMs,
      runningCount: 0,
      peakCount: 0,
      limits,
      requestedCount: 0,
      windowStartMs: nowMs,
      requestedPerSecond: 0,
    };
    states.set(customer, state);
    dropIdle();
    return state;
  };

  const rollWindow = (state: CustomerState, nowMs: number) => {
    const elapsedMs = nowMs - state.windowStartMs;
    if (elapsedMs < demandWindowMs) return;
    Object.assign(state, {
      requestedPerSecond: (state.requestedCount * msPerSecond) / elapsedMs,
      requestedCount: 0,
      windowStartMs: nowMs,
    });
  };

  const recordDemand = (customer: string, state: CustomerState, nowMs: number) => {
    const { requestsPerSecond, maxConcurrent } = state.limits;
    if (requestsPerSecond !== undefined) {
      rates.setDemand(customer, requestsPerSecond, state.requestedPerSecond, nowMs);
    }
    if (maxConcurrent !== undefined) {
      concurrency.setDemand(customer, maxConcurrent, state.peakCount, nowMs);
    }
  };

  const refill = (state: CustomerState, perSecond: number, nowMs: number) => {
    const maxAllowance = Math.max(1, (perSecond * burstMs) / msPerSecond);
    const gained = ((nowMs - state.allowanceAtMs) * perSecond) / msPerSecond;
    Object.assign(state, {
      allowance: Math.min(maxAllowance, state.allowance + gained),
      allowanceAtMs: nowMs,
    });
  };

  const checkRate = (
    customer: string,
    state: CustomerState,
    limit: number,
    nowMs: number,
  ): LimitDecision => {
    const perSecond = rates.shareOf(customer, limit, nowMs);
    refill(state, perSecond, nowMs);
    if (state.allowance >= 1) return { kind: 'allowed' };
    const waitMs = ((1 - state.allowance) * msPerSecond) / perSecond;
    const retryAfterMs = Math.min(maxRetryAfterMs, Math.ceil(waitMs));
    return { kind: 'denied', limit: 'requests-per-second', retryAfterMs };
  };

  const checkConcurrency = (
    customer: string,
    state: CustomerState,
    limit: number,
    nowMs: number,
  ): LimitDecision => {
    const share = Math.max(1, Math.floor(concurrency.shareOf(customer, limit, nowMs)));
    if (state.runningCount < share) return { kind: 'allowed' };
    Object.assign(state, { peakCount: state.peakCount + 1 });
    return { kind: 'denied', limit: 'max-concurrent', retryAfterMs: concurrencyRetryAfterMs };
  };

  return {
    tryStart: (customer, limits, nowMs) => {
      const state = stateOf(customer, limits, nowMs);
      rollWindow(state, nowMs);
      state.requestedCount += 1;
      state.peakCount = Math.max(state.peakCount, state.runningCount + 1);
      if (limits.maxConcurrent !== undefined) {
        const decision = checkConcurrency(customer, state, limits.maxConcurrent, nowMs);
        if (decision.kind === 'denied') return decision;
      }
      if (limits.requestsPerSecond !== undefined) {
        const decision = checkRate(customer, state, limits.requestsPerSecond, nowMs);
        if (decision.kind === 'denied') return decision;
        state.allowance -= 1;
      }
      state.runningCount += 1;
      return { kind: 'allowed' };
    },
    end: (customer) => {
      const state = states.get(customer);
      if (state) state.runningCount = Math.max(0, state.runningCount - 1);
    },
    onUpdate: (origin, update, remainingMs, nowMs) => {
      rates.onUpdate(origin, update.rates, remainingMs, nowMs);
      concurrency.onUpdate(origin, update.concurrency, remainingMs, nowMs);
    },
    setLiveCount: (liveCount, nowMs) => {
      rates.setLiveCount(liveCount, nowMs);
      concurrency.setLiveCount(liveCount, nowMs);
    },
    takeUpdate: (nowMs) => {
      states.forEach((state, customer) => {
        rollWindow(state, nowMs);
        recordDemand(customer, state, nowMs);
        Object.assign(state, { peakCount: state.runningCount });
      });
      const rateUpdate = rates.takeUpdate(nowMs);
      const concurrencyUpdate = concurrency.takeUpdate(nowMs);
      if (!rateUpdate && !concurrencyUpdate) return undefined;
      return {
        rates: rateUpdate ?? rates.lastPublished(),
        concurrency: concurrencyUpdate ?? concurrency.lastPublished(),
      };
    },
  };
};
