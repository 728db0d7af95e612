import type * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';

/** Remembers orders whose effect the list does not show yet. */
export interface OrderBook {
  readonly note: (target: fleet.Target) => void;
  readonly noteStaging: (target: fleet.Target, modelName: string) => void;
  /** Takes note that an order had no effect; the target is left alone for a moment. */
  readonly fail: (target: fleet.Target) => void;
  /** Drops what the list shows by now, and what has taken too long. */
  readonly settle: (listed: ReadonlyMap<string, fleet.Target>) => void;
  readonly isOrdered: (target: fleet.Target) => boolean;
  /** Gives the model that a target is loading onto its host. */
  readonly stagingModel: (target: fleet.Target) => string | undefined;
}

interface Entry {
  readonly target: fleet.Target;
  readonly untilMs: number;
}

/** After this long without effect, an order counts as lost. */
const orderLifeMs = 2_500;
const failedPauseMs = 500;
/** Loads are slow while many share the weight store. */
const stagingLifeMs = 60_000;

const hasChanged = (before: fleet.Target, after: fleet.Target): boolean => {
  const one = before.membership;
  const other = after.membership;
  return one?.groupName !== other?.groupName || one?.state !== other?.state;
};

/** Creates a book without orders. */
export const createOrderBook = (clock: clocks.Clock): OrderBook => {
  const orders = new Map<string, Entry>();
  const stagings = new Map<string, Entry & { readonly modelName: string }>();

  return {
    note: (target) => {
      orders.set(fleet.runKeyOf(target), { target, untilMs: clock.monotonicMs() + orderLifeMs });
    },
    noteStaging: (target, modelName) => {
      const untilMs = clock.monotonicMs() + stagingLifeMs;
      stagings.set(fleet.runKeyOf(target), { target, modelName, untilMs });
    },
    fail: (target) => {
      const key = fleet.runKeyOf(target);
      orders.set(key, { target, untilMs: clock.monotonicMs() + failedPauseMs });
      stagings.delete(key);
    },
    settle: (listed) => {
      const nowMs = clock.monotonicMs();
      const current = new Map(
        [...listed.values()].map((target) => [fleet.runKeyOf(target), target]),
      );
      orders.forEach(({ target, untilMs }, key) => {
        const now = current.get(key);
        const isSettled = now === undefined || hasChanged(target, now);
        if (isSettled || nowMs > untilMs) orders.delete(key);
      });
      stagings.forEach(({ modelName, untilMs }, key) => {
        const now = current.get(key);
        const isSettled = now === undefined || now.stagedModels.includes(modelName);
        if (isSettled || nowMs > untilMs) stagings.delete(key);
      });
    },
    isOrdered: (target) => orders.has(fleet.runKeyOf(target)),
    stagingModel: (target) => stagings.get(fleet.runKeyOf(target))?.modelName,
  };
};
