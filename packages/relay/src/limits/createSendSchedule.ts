/** A target and the rate, above 0, at which requests may be sent to it. */
export interface LimitedTarget {
  readonly targetKey: string;
  readonly perSecond: number;
  /** Defined for a cold target: the most that may be sent and arrive within one second. */
  readonly maxInSecond?: number | undefined;
}

/** Whether a request may be sent to a limited target. */
export type SendPermit =
  | { readonly kind: 'granted'; readonly targetKey: string; readonly waitMs: number }
  /** `retryAfterMs` is the time until one of the targets can take another request. */
  | { readonly kind: 'denied'; readonly retryAfterMs: number };

/** A request for permission to send to one of several limited targets. */
export interface PermitRequest {
  /** In the order of preference. */
  readonly targets: readonly LimitedTarget[];
  /** The longest time for which the request may wait before it is sent. */
  readonly maxWaitMs: number;
}

/** Reserves times to send requests to limited targets, so that the rate of each stays below its limit. */
export interface SendSchedule {
  readonly reserve: (request: PermitRequest, nowMs: number) => SendPermit;
}

export interface SendScheduleOptions {
  /** Number of requests that may be sent at once after a pause. */
  readonly burst: number;
  /** Returns the delay of the first request to a target, as a fraction of the interval between requests. */
  readonly initialDelay: () => number;
}

const msPerSecond = 1_000;
/** Times this far in the past no longer delay a request. */
const retentionMs = 60_000;

/** Creates an empty schedule, which spaces the requests to each target evenly (generic cell rate algorithm). */
export const createSendSchedule = (options: SendScheduleOptions): SendSchedule => {
  /** Time at which the next request to a target would be due if all requests were spaced evenly. */
  const dueAtMs = new Map<string, number>();

  const prune = (nowMs: number) =>
    [...dueAtMs]
      .filter(([, atMs]) => nowMs - atMs > retentionMs)
      .forEach(([targetKey]) => dueAtMs.delete(targetKey));

  const slotOf = ({ targetKey, perSecond }: LimitedTarget, nowMs: number) => {
    const intervalMs = msPerSecond / perSecond;
    const toleranceMs = intervalMs * (options.burst - 1);
    const firstDueAtMs = () => nowMs + toleranceMs + intervalMs * options.initialDelay();
    const dueMs = dueAtMs.get(targetKey) ?? firstDueAtMs();
    return { targetKey, dueMs, intervalMs, atMs: Math.max(nowMs, dueMs - toleranceMs) };
  };

  return {
    reserve: ({ targets, maxWaitMs }, nowMs) => {
      const slots = targets.map((target) => slotOf(target, nowMs));
      slots.forEach(({ targetKey, dueMs }) => dueAtMs.set(targetKey, dueMs));
      const [first, ...others] = slots;
      if (first === undefined) return { kind: 'denied', retryAfterMs: 0 };
      const earliest = others.reduce((best, slot) => (slot.atMs < best.atMs ? slot : best), first);
      const { targetKey, dueMs, intervalMs, atMs } = earliest;
      const waitMs = atMs - nowMs;
      if (waitMs > maxWaitMs) return { kind: 'denied', retryAfterMs: waitMs };
      prune(nowMs);
      dueAtMs.set(targetKey, Math.max(nowMs, dueMs) + intervalMs);
      return { kind: 'granted', targetKey, waitMs };
    },
  };
};
