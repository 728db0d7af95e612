import type * as clock from '@comfreydrum/clock';

/** The platform's outage as this daemon sees it. */
export type Outage =
  | { readonly kind: 'none' }
  | { readonly kind: 'outage'; readonly sinceMs: number; readonly retryAfterMs: number };

/** Decides from the outcome of calls whether the platform is down, and when to try it again. */
export interface OutageDetector {
  /** Takes the outcome of one call that reached, or failed to reach, the platform. */
  readonly report: (reached: boolean) => void;
  readonly outage: () => Outage;
}

const failuresToOutage = 3;
const firstRetryMs = 500;
const defaultMaxRetryMs = 6_000;

/**
 * Creates a detector: an outage begins after three failures in a row and ends with one success.
 * While it lasts, the time of the next try is drawn at random below a bound that doubles, so that a
 * fleet does not return at one moment.
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
