import type * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';

/** Remembers what this controller has ordered, beyond what the list shows. */
export interface OrderBook {
  /** Notes an order whose effect the list does not show yet. */
  readonly note: (target: fleet.Target) => void;
  /** Notes the orders that form a group. */
  readonly noteForm: (group: GroupAt, members: readonly fleet.Target[]) => void;
  /** Notes the answer to an order to join; without one it may be carried out at any time. */
  readonly noteJoinAnswer: (target: fleet.Target, epoch: number, isAnswered: boolean) => void;
  readonly noteOpen: (group: GroupAt) => void;
  /** Notes the answer to an order to open; without one it may be carried out at any time. */
  readonly noteOpenAnswer: (group: GroupAt, answer: OrderAnswer) => void;
  /** Notes an order to close; a group is never opened again after one. */
  readonly noteClose: (group: GroupAt) => void;
  readonly noteCloseAnswer: (group: GroupAt, answer: OrderAnswer) => void;
  readonly noteStaging: (target: fleet.Target, modelName: string) => void;
  /** Takes note that an order had no effect; the target is left alone for a moment. */
  readonly fail: (target: fleet.Target) => void;
  /** Drops what the list shows by now, and what has taken too long. */
  readonly settle: (listed: ReadonlyMap<string, fleet.Target>) => void;
  readonly isOrdered: (target: fleet.Target) => boolean;
  /** Gives the model that a target is loading onto its host. */
  readonly stagingModel: (target: fleet.Target) => string | undefined;
  /** Whether members may still be missing from the list only because they were ordered just now. */
  readonly isBeingFormed: (group: GroupAt) => boolean;
  /** Whether the group was formed here, not closed, and no member may yet be taken out by a late order. */
  readonly mayOpen: (group: fleet.Group) => boolean;
  /** Whether an order to open the group may reach its head late. */
  readonly mayBeOpening: (group: GroupAt) => boolean;
}

/** Whether a target carried an order out, refused it, or left it unanswered. */
export type OrderAnswer = 'taken' | 'refused' | 'unanswered';

/** Names a group at its epoch. */
type GroupAt = Pick<fleet.Group, 'key'>;

interface Entry {
  readonly target: fleet.Target;
  readonly untilMs: number;
}

interface Forming {
  readonly memberKeys: readonly string[];
  readonly untilMs: number;
}

/** After this long without effect, an order counts as lost. */
const orderLifeMs = 2_500;
const failedPauseMs = 500;
/** Loads are slow while many share the weight store. */
const stagingLifeMs = 60_000;
/** An order is answered within 700 ms, and the list shows its effect some hundred later. */
const formingMs = 1_200;

const hasChanged = (before: fleet.Target, after: fleet.Target): boolean => {
  const one = before.membership;
  const other = after.membership;
  return one?.groupName !== other?.groupName || one?.state !== other?.state;
};

/** Creates a book without orders. */
export const createOrderBook = (clock: clocks.Clock): OrderBook => {
  const orders = new Map<string, Entry>();
  const stagings = new Map<string, Entry & { readonly modelName: string }>();
  const forming = new Map<string, Forming>();
  const formedKeys = new Set<string>();
  /** Groups that may be open, or be opened by an order that is still on its way. */
  const openings = new Map<string, 'ordered' | 'open' | 'late'>();
  const closedKeys = new Set<string>();
  /** By run of a target, the highest epoch of an order to join that got no answer. */
  const unansweredEpochs = new Map<string, number>();

  const failMembers = (targetKey: string) =>
    forming.forEach(({ memberKeys }, key) => {
      if (memberKeys.includes(targetKey)) forming.delete(key);
    });

  return {
    note: (target) => {
      orders.set(fleet.runKeyOf(target), { target, untilMs: clock.monotonicMs() + orderLifeMs });
    },
    noteForm: ({ key }, members) => {
      formedKeys.add(key);
      const memberKeys = members.map(fleet.runKeyOf);
      forming.set(key, { memberKeys, untilMs: clock.monotonicMs() + formingMs });
    },
    noteJoinAnswer: (target, epoch, isAnswered) => {
      const key = fleet.runKeyOf(target);
      const before = unansweredEpochs.get(key) ?? 0;
      if (!isAnswered) unansweredEpochs.set(key, Math.max(before, epoch));
      // Having taken this epoch, the target refuses any lower one.
      else if (epoch >= before) unansweredEpochs.delete(key);
    },
    noteOpen: ({ key }) => {
      openings.set(key, 'ordered');
    },
    noteOpenAnswer: ({ key }, answer) => {
      if (answer === 'refused') openings.delete(key);
      else openings.set(key, answer === 'taken' ? 'open' : 'late');
    },
    noteClose: ({ key }) => {
      closedKeys.add(key);
    },
    noteCloseAnswer: ({ key }, answer) => {
      if (answer === 'taken' && openings.get(key) === 'open') openings.delete(key);
    },
    noteStaging: (target, modelName) => {
      const untilMs = clock.monotonicMs() + stagingLifeMs;
      stagings.set(fleet.runKeyOf(target), { target, modelName, untilMs });
    },
    fail: (target) => {
      const key = fleet.runKeyOf(target);
      orders.set(key, { target, untilMs: clock.monotonicMs() + failedPauseMs });
      stagings.delete(key);
      failMembers(key);
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
      forming.forEach(({ memberKeys, untilMs }, key) => {
        const isMemberGone = memberKeys.some((memberKey) => !current.has(memberKey));
        const isShown = memberKeys.every((memberKey) => {
          const membership = current.get(memberKey)?.membership;
          return membership !== undefined && fleet.groupKeyOf(membership) === key;
        });
        if (isMemberGone || isShown || nowMs > untilMs) forming.delete(key);
      });
    },
    isOrdered: (target) => {
      const key = fleet.runKeyOf(target);
      return (
        orders.has(key) || [...forming.values()].some(({ memberKeys }) => memberKeys.includes(key))
      );
    },
    stagingModel: (target) => stagings.get(fleet.runKeyOf(target))?.modelName,
    isBeingFormed: ({ key }) => forming.has(key),
    mayOpen: ({ key, epoch, members }) =>
      formedKeys.has(key) &&
      !closedKeys.has(key) &&
      members.every((member) => (unansweredEpochs.get(fleet.runKeyOf(member)) ?? 0) <= epoch),
    mayBeOpening: ({ key }) => !formedKeys.has(key) || openings.has(key),
  };
};
