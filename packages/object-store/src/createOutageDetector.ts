import type * as clock from '@comfreydrum/clock';

/** Whether this daemon considers the platform down. */
export type Outage =
  | { readonly kind: 'none' }
  | { readonly kind: 'outage'; readonly sinceMs: number; readonly retryAfterMs: number };

/** Detects from the results of calls whether the platform is down; schedules retries during an outage. */
export interface OutageDetector {
  /** Records whether a call reached the platform. */
  readonly report: (reached: boolean) => void;
  readonly outage: () => Outage;
}

const outageThreshold = 3;
const firstRetryMs = 500;
const defaultMaxRetryMs = 6_000;

/**
 * Creates a detector: an outage begins after three consecutive failures and ends with one success.
 * During an outage the next attempt has a random delay below a bound that doubles with each failure, so
 * that the daemons of a fleet do not reconnect at the same time.
 */
export const createOutageDetector = (
  systemClock: clock.Clock,
  random: () => number,
  maxRetryMs = defaultMaxRetryMs,
): OutageDetector => {
  let consecutiveFailures = 0;
  let firstFailureAtMs = 0;
  let retryAtMs = 0;

  const scheduleRetry = () => {
    const doublings = Math.min(10, consecutiveFailures - outageThreshold);
    const maxDelayMs = Math.min(maxRetryMs, firstRetryMs * 2 ** doublings);
    retryAtMs = systemClock.monotonicMs() + maxDelayMs * (0.1 + 0.9 * random());
  };

  return {
    report: (reached) => {
      if (reached) {
        consecutiveFailures = 0;
        return;
      }
      const nowMs = systemClock.monotonicMs();
      if (consecutiveFailures >= outageThreshold && nowMs < retryAtMs) return;
      if (consecutiveFailures === 0) firstFailureAtMs = nowMs;
      consecutiveFailures += 1;
      if (consecutiveFailures >= outageThreshold) scheduleRetry();
    },
    outage: () =>
      consecutiveFailures < outageThreshold
        ? { kind: 'none' }
        : {
            kind: 'outage',
            sinceMs: firstFailureAtMs,
            retryAfterMs: Math.max(0, retryAtMs - systemClock.monotonicMs()),
          },
  };
};
