import type * as clock from '@comfreydrum/clock';
import type { CallPriority } from './PlatformClient';

/** What sizes the budget of one daemon. */
export interface CallBudgetOptions {
  readonly clock: clock.Clock;
  /** Calls per second that the whole fleet may make. */
  readonly fleetPerSecond: number;
  /** How many daemons share them now. */
  readonly memberCount: () => number;
}

/** The right of one daemon to call the platform: a token bucket over its share of the fleet's rate. */
export interface CallBudget {
  /** Takes the right to one call, if there is one now. */
  readonly take: (priority: CallPriority) => boolean;
  /** Gives how long the next right to a call is away. */
  readonly waitMs: () => number;
  /** Takes note that the platform turned a call away for its rate. */
  readonly reportRefusal: () => void;
  /** Empties the bucket and falls back to the plain share, after an outage. */
  readonly restart: () => void;
  /** Calls per second that this daemon may make now. */
  readonly perSecond: () => number;
}

const maxBorrowFactor = 16;
const borrowGrowthPerSecond = 1;
const minCapacity = 4;
const capacitySeconds = 1;
/** Background calls leave this part of the bucket to the others. */
const backgroundReserveFraction = 0.5;
const msPerSecond = 1_000;

/**
 * Creates a budget of `fleetPerSecond / memberCount` calls per second.
 *
 * A daemon that needs more borrows up to a multiple of its share, one share more per second, as long
 * as the platform turns nothing away; the first refusal halves what it borrows. So a partition owner
 * may write more than an idle daemon without any talk between them.
 */
export const createCallBudget = (options: CallBudgetOptions): CallBudget => {
  let borrowFactor = 1;
  let tokens = minCapacity;
  let refilledAtMs = options.clock.monotonicMs();
  let shortSinceRefill = false;

  const sharePerSecond = () => options.fleetPerSecond / Math.max(1, options.memberCount());
  const perSecond = () => Math.min(options.fleetPerSecond, sharePerSecond() * borrowFactor);
  const capacity = () => Math.max(minCapacity, perSecond() * capacitySeconds);

  const refill = () => {
    const nowMs = options.clock.monotonicMs();
    const elapsedSeconds = Math.max(0, nowMs - refilledAtMs) / msPerSecond;
    refilledAtMs = nowMs;
    const change = borrowGrowthPerSecond * elapsedSeconds * (shortSinceRefill ? 1 : -1);
    borrowFactor = Math.min(maxBorrowFactor, Math.max(1, borrowFactor + change));
    tokens = Math.min(capacity(), tokens + elapsedSeconds * perSecond());
    if (tokens >= capacity() / 2) shortSinceRefill = false;
  };

  return {
    take: (priority) => {
      refill();
      const reserve = priority === 'background' ? capacity() * backgroundReserveFraction : 0;
      if (tokens - reserve >= 1) {
        tokens -= 1;
        return true;
      }
      if (priority !== 'background') shortSinceRefill = true;
      return false;
    },
    waitMs: () => {
      refill();
      return Math.max(0, ((1 - tokens) / perSecond()) * msPerSecond);
    },
    reportRefusal: () => {
      borrowFactor = Math.max(1, borrowFactor / 2);
      shortSinceRefill = false;
      tokens = Math.min(tokens, 0);
    },
    restart: () => {
      borrowFactor = 1;
      shortSinceRefill = false;
      tokens = 0;
      refilledAtMs = options.clock.monotonicMs();
    },
    perSecond,
  };
};
