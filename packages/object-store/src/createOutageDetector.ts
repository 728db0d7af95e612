import type * as clock from '@comfreydrum/clock';

/** Whether this daemon considers the platform down. */
export type Outage =
  | { readonly kind: 'none' }
  | { readonly kind: 'outage'; readonly sinceMs: number; readonly retryAfterMs: number };

/** Detects from the results of calls whether the platform is down, and schedules the next attempt. */
export interface OutageDetector {
  /** Records whether a call reached the platform. */
  readonly report: (reached: boolean) => void;
  readonly outage: () => Outage;
}

const failuresToOutage = 3;
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
  let failures = 0;
  let firstFailureAtMs = 0;
  let retryAtMs = 0;

  const scheduleRetry = () => {
    const doublings = Math.min(10, failures - failuresToOutage);
    const boundMs = Math.min(maxRetryMs, firstRetryMs * 2 ** doublings);
    retryAtMs = systemClock.monotonicMs() + boundMs * (0.1 + 0.9 * random());
  };

  return {
    report: (reached) => {
      if (reached) {
        failures = 0;
        return;
      }
      const nowMs = systemClock.monotonicMs();
      if (failures >= failuresToOutage && nowMs < retryAtMs) return;
      if (failures === 0) firstFailureAtMs = nowMs;
      failures += 1;
      if (failures >= failuresToOutage) scheduleRetry();
    },
    outage: () =>
      failures < failuresToOutage
        ? { kind: 'none' }
        : {
            kind: 'outage',
            sinceMs: firstFailureAtMs,
            retryAfterMs: Math.max(0, retryAtMs - systemClock.monotonicMs()),
          },
  };
};
