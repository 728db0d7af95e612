import type * as clock from '@comfreydrum/clock';
import type { CallPriority } from './PlatformClient';

/** The parameters of the call budget of one daemon. */
export interface CallBudgetOptions {
  readonly clock: clock.Clock;
  /** The maximum rate of the whole fleet. */
  readonly fleetPerSecond: number;
  /** Returns how many daemons currently share the rate. */
  readonly memberCount: () => number;
}

/** A token bucket that limits one daemon to its share of the fleet's rate of platform calls. */
export interface CallBudget {
  /** Consumes one token if available; returns whether the call may be made. */
  readonly tryAcquire: (priority: CallPriority) => boolean;
  /** Returns the time until the next token is available. */
  readonly waitMs: () => number;
  /** Records that the platform refused a call because of its rate limit. */
  readonly recordRefusal: () => void;
  /** Empties the bucket and resets the rate to the share of one daemon, after an outage. */
  readonly reset: () => void;
  /** Returns the current rate limit of this daemon. */
  readonly perSecond: () => number;
}

const maxBorrowFactor = 16;
const borrowGrowthPerSecond = 1;
const minCapacity = 4;
const capacitySeconds = 1;
/** The fraction of the bucket that is reserved for calls of higher priority than background. */
const backgroundReserveFraction = 0.5;
const msPerSecond = 1_000;

/**
 * Creates a budget of `fleetPerSecond / memberCount` calls per second.
 *
 * A daemon that needs more raises its rate by one share per second, up to a multiple of its share, as
 * long as the platform refuses no call; each refusal halves its rate, down to its share. This lets a
 * partition owner write more than an idle daemon without coordination between them.
 */
export const createCallBudget = (options: CallBudgetOptions): CallBudget => {
  let borrowFactor = 1;
  let tokens = minCapacity;
  let refilledAtMs = options.clock.monotonicMs();
  let hasUnmetDemand = false;

  const sharePerSecond = () => options.fleetPerSecond / Math.max(1, options.memberCount());
  const perSecond = () => Math.min(options.fleetPerSecond, sharePerSecond() * borrowFactor);
  const capacity = () => Math.max(minCapacity, perSecond() * capacitySeconds);

  const refill = () => {
    const nowMs = options.clock.monotonicMs();
    const elapsedSeconds = Math.max(0, nowMs - refilledAtMs) / msPerSecond;
    refilledAtMs = nowMs;
    const change = borrowGrowthPerSecond * elapsedSeconds * (hasUnmetDemand ? 1 : -1);
    borrowFactor = Math.min(maxBorrowFactor, Math.max(1, borrowFactor + change));
    tokens = Math.min(capacity(), tokens + elapsedSeconds * perSecond());
    if (tokens >= capacity() / 2) hasUnmetDemand = false;
  };

  return {
    tryAcquire: (priority) => {
      refill();
      const reserve = priority === 'background' ? capacity() * backgroundReserveFraction : 0;
      if (tokens - reserve >= 1) {
        tokens -= 1;
        return true;
      }
      if (priority !== 'background') hasUnmetDemand = true;
      return false;
    },
    waitMs: () => {
      refill();
      return Math.max(0, ((1 - tokens) / perSecond()) * msPerSecond);
    },
    recordRefusal: () => {
      borrowFactor = Math.max(1, borrowFactor / 2);
      hasUnmetDemand = false;
      tokens = Math.min(tokens, 0);
    },
    reset: () => {
      borrowFactor = 1;
      hasUnmetDemand = false;
      tokens = 0;
      refilledAtMs = options.clock.monotonicMs();
    },
    perSecond,
  };
};
