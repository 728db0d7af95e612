import type * as clock from '@comfreydrum/clock';

/** Rejects calls immediately while the platform is down, except for one probe after each backoff. */
export interface CircuitBreaker {
  /** Returns 0 if a call may be made now, or else the time in milliseconds to wait before it. */
  readonly acquire: () => number;
  readonly onResponse: () => void;
  readonly onUnavailable: () => void;
  /** Records a call without a response; several with no response in between count as an outage. */
  readonly onTimeout: () => void;
}

export interface CircuitBreakerOptions {
  readonly clockSource: clock.Clock;
  readonly firstRetryMs: number;
  readonly retryLimitMs: number;
  /** Returns a random number in [0, 1) for the jitter, so that daemons don't all retry at once. */
  readonly random: () => number;
}

const timeoutThreshold = 3;
const backoffFactor = 2;

/** Creates a circuit breaker that lets calls through until an outage is recorded. */
export const createCircuitBreaker = (options: CircuitBreakerOptions): CircuitBreaker => {
  const { clockSource, firstRetryMs, retryLimitMs, random } = options;
  let failureCount = 0;
  let timeoutCount = 0;
  let openUntilMs = -Infinity;
  let isProbing = false;

  const backoffMs = (): number => {
    const limitMs = Math.min(retryLimitMs, firstRetryMs * backoffFactor ** (failureCount - 1));
    return Math.ceil(limitMs * (0.5 + random() / 2));
  };

  const open = () => {
    isProbing = false;
    failureCount += 1;
    openUntilMs = clockSource.monotonicMs() + backoffMs();
  };

  return {
    acquire: () => {
      if (failureCount === 0) return 0;
      const restMs = openUntilMs - clockSource.monotonicMs();
      if (restMs > 0) return Math.ceil(restMs);
      isProbing = true;
      openUntilMs = clockSource.monotonicMs() + firstRetryMs;
      return 0;
    },
    onResponse: () => {
      isProbing = false;
      failureCount = 0;
      timeoutCount = 0;
    },
    onUnavailable: () => {
      if (isProbing || failureCount === 0) open();
    },
    onTimeout: () => {
      timeoutCount += 1;
      if (timeoutCount >= timeoutThreshold) open();
    },
  };
};
