import type * as clocks from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import * as zod from 'zod';
import { createShareSlots } from './createShareSlots';
import {
  createSendSchedule,
  type LimitedTarget,
  type SendPermit,
  type SendSchedule,
} from './createSendSchedule';

/** The daemon that schedules the requests of all daemons to limited targets. */
export type Scheduler =
  | { readonly kind: 'self' }
  | { readonly kind: 'peer'; readonly address: string }
  | { readonly kind: 'unknown' };

/** Grants requests to limited targets, so that all daemons together stay within the limits. */
export interface SendPermits {
  /** Reports whether a permit for a target that needs no wait may be available. */
  readonly isOpen: (targetKey: string) => boolean;
  /** Reserves a time to send a request to one of the targets; the first of those that are free soonest. */
  readonly acquire: (targets: readonly LimitedTarget[], maxWaitMs: number) => Promise<SendPermit>;
}

export interface SendPermitsOptions {
  readonly clock: clocks.Clock;
  readonly calls: peers.PeerCalls;
  readonly random: () => number;
  /** Returns the daemon that schedules the requests now; the lease makes it the only one. */
  readonly scheduler: () => Scheduler;
  readonly daemonCount: () => number;
  /** Returns the number of daemons that may share the rate of a cold target; undefined if it isn't known yet. */
  readonly highestDaemonCount: () => number | undefined;
}

const permitMethod = 'relay.permit';
const callTimeoutMs = 150;
/** How long a scheduler that did not answer is not asked again. */
const schedulerRetryMs = 500;
const schedulerBurst = 2;
/** Rate for targets that accept less, so that the end of their limit is noticed. */
const minPerSecond = 0.25;
/**
 * Requests to a cold target are scheduled at most this far ahead, so that those of a scheduler that has ended and those of
 * the next one together stay within the bound.
 */
const maxColdWaitMs = 300;
/**
 * Part of what the bound leaves above the rate that all daemons without a scheduler share: others may have one, and the
 * shares are not aligned with each other.
 */
const coldShareFraction = 1 / 6;
/** The scheduler is likely to be back long before the next slot of a share. */
const maxColdRetryMs = 1_000;

const limitedTargetSchema = zod.object({
  targetKey: zod.string(),
  perSecond: zod.number().positive(),
});
const requestSchema = zod.object({
  targets: zod.array(limitedTargetSchema),
  maxWaitMs: zod.number(),
});
const permitSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('granted'), targetKey: zod.string(), waitMs: zod.number() }),
  zod.object({ kind: zod.literal('denied'), retryAfterMs: zod.number() }),
]);
const responseSchema = zod.object({ permit: permitSchema.optional() });

const isCold = ({ maxInSecond }: LimitedTarget): boolean => maxInSecond !== undefined;

/**
 * Creates the permits of a daemon. The holder of the lease schedules the requests of all daemons. A daemon that gets no
 * answer from it sends its equal share of what the limits allow.
 */
export const createSendPermits = (options: SendPermitsOptions): SendPermits => {
  const { clock, calls } = options;
  const schedule = createSendSchedule({ burst: schedulerBurst, initialDelay: () => 0 });
  /** The schedule for the time without an answer of the scheduler. */
  let shareSchedule: SendSchedule | undefined;
  let askAgainAtMs = -Infinity;
  const closedUntilMs = new Map<string, number>();

  const shareSlots = createShareSlots(options.random);

  const askScheduler = async (
    address: string,
    targets: readonly LimitedTarget[],
    maxWaitMs: number,
  ): Promise<SendPermit | undefined> => {
    if (clock.monotonicMs() < askAgainAtMs) return undefined;
    const params = {
      targets: targets.map(({ targetKey, perSecond }) => ({ targetKey, perSecond })),
      maxWaitMs,
    };
    const result = await calls.call(address, permitMethod, params, callTimeoutMs);
    const checked = responseSchema.safeParse(result.ok ? result.value : undefined);
    if (checked.data?.permit !== undefined) return checked.data.permit;
    askAgainAtMs = clock.monotonicMs() + schedulerRetryMs;
    return undefined;
  };

  const reserveCentrally = async (
    targets: readonly LimitedTarget[],
    maxWaitMs: number,
  ): Promise<SendPermit | undefined> => {
    const scheduler = options.scheduler();
    if (scheduler.kind === 'unknown') return undefined;
    if (scheduler.kind === 'peer') return askScheduler(scheduler.address, targets, maxWaitMs);
    return schedule.reserve({ targets, maxWaitMs }, clock.monotonicMs());
  };

  const reserveColdShare = (targets: readonly LimitedTarget[], maxWaitMs: number): SendPermit => {
    const daemonCount = options.highestDaemonCount();
    if (daemonCount === undefined) return { kind: 'denied', retryAfterMs: maxColdRetryMs };
    const shares = targets.map(({ targetKey, perSecond, maxInSecond = perSecond }) => {
      const sharedPerSecond = Math.max(minPerSecond, (maxInSecond - perSecond) * coldShareFraction);
      return { targetKey, perSecond: Math.min(perSecond, sharedPerSecond) / daemonCount };
    });
    const permit = shareSlots.reserve({ targets: shares, maxWaitMs }, clock.monotonicMs());
    if (permit.kind === 'granted') return permit;
    return { kind: 'denied', retryAfterMs: Math.min(maxColdRetryMs, permit.retryAfterMs) };
  };

  const reserveLimitShare = (targets: readonly LimitedTarget[], maxWaitMs: number): SendPermit => {
    shareSchedule ??= createSendSchedule({ burst: 1, initialDelay: options.random });
    const daemonCount = Math.max(1, options.daemonCount());
    const shares = targets.map(({ targetKey, perSecond }) => ({
      targetKey,
      perSecond: perSecond / daemonCount,
    }));
    return shareSchedule.reserve({ targets: shares, maxWaitMs }, clock.monotonicMs());
  };

  const reserveShare = (targets: readonly LimitedTarget[], maxWaitMs: number): SendPermit => {
    const cold = targets.filter(isCold);
    if (cold.length === 0) return reserveLimitShare(targets, maxWaitMs);
    const named = targets.filter((target) => !isCold(target));
    const permit = named.length > 0 ? reserveLimitShare(named, maxWaitMs) : undefined;
    if (permit?.kind === 'granted') return permit;
    const coldPermit = reserveColdShare(cold, maxWaitMs);
    if (coldPermit.kind === 'granted' || permit === undefined) return coldPermit;
    const retryAfterMs = Math.min(permit.retryAfterMs, coldPermit.retryAfterMs);
    return { kind: 'denied', retryAfterMs };
  };

  const close = (targets: readonly LimitedTarget[], retryAfterMs: number) => {
    const nowMs = clock.monotonicMs();
    [...closedUntilMs]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([targetKey]) => closedUntilMs.delete(targetKey));
    targets.forEach(({ targetKey }) => closedUntilMs.set(targetKey, nowMs + retryAfterMs));
  };

  calls.handle(permitMethod, async (params) => {
    const checked = requestSchema.safeParse(params);
    if (!checked.success) throw new Error('params: expected targets and maxWaitMs');
    if (options.scheduler().kind !== 'self') return {};
    return { permit: schedule.reserve(checked.data, clock.monotonicMs()) };
  });

  return {
    isOpen: (targetKey) => (closedUntilMs.get(targetKey) ?? -Infinity) <= clock.monotonicMs(),
    acquire: async (limitedTargets, maxLimitWaitMs) => {
      const targets = limitedTargets.map((target) => ({
        ...target,
        perSecond: Math.max(target.perSecond, minPerSecond),
      }));
      const maxWaitMs = targets.some(isCold)
        ? Math.min(maxLimitWaitMs, maxColdWaitMs)
        : maxLimitWaitMs;
      const central = await reserveCentrally(targets, maxWaitMs);
      if (central !== undefined) shareSchedule = undefined;
      const permit = central ?? reserveShare(targets, maxWaitMs);
      if (permit.kind === 'denied') close(targets, permit.retryAfterMs);
      return permit;
    },
  };
};
