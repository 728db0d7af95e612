import type * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import type { CloseMode } from './TargetOrders';

/** Tracks the orders of this controller whose effect the list may not show yet. */
export interface OrderTracker {
  /** Records an order whose effect the list does not show yet. */
  readonly recordOrder: (target: fleet.Target) => void;
  /** Records the orders that form a group. */
  readonly recordForm: (group: KeyedGroup, members: readonly fleet.Target[]) => void;
  /** Records that the orders of `recordForm` are not sent. */
  readonly recordUnsentForm: (group: KeyedGroup, members: readonly fleet.Target[]) => void;
  /** Records whether an order to join got a response; one without a response may be executed at any time. */
  readonly recordJoinResponse: (target: fleet.Target, epoch: number, isAnswered: boolean) => void;
  readonly recordOpen: (group: KeyedGroup) => void;
  /** Records the response to an order to open; one without a response may be executed at any time. */
  readonly recordOpenResponse: (group: KeyedGroup, response: OrderResponse) => void;
  /** Records an order to close, after which the group is never opened again. */
  readonly recordClose: (group: KeyedGroup, mode: CloseMode) => void;
  /** Reports whether the last order to close a group lets it finish its work. */
  readonly isFinishing: (group: KeyedGroup) => boolean;
  readonly recordCloseResponse: (group: KeyedGroup, response: OrderResponse) => void;
  readonly recordStaging: (target: fleet.Target, modelName: string) => void;
  /**
   * Records that a target refused to load weights, as it is loading some already; probably those that an earlier controller
   * ordered. It is asked again after a while if the list doesn't show them.
   */
  readonly recordBusyHost: (target: fleet.Target, modelName: string) => void;
  /** Records a failed order; the target gets no other order for a short time. */
  readonly recordFailure: (target: fleet.Target) => void;
  /** Drops orders whose effect the list shows, whose target has gone, or that have expired. */
  readonly dropSettled: (listed: ReadonlyMap<string, fleet.Target>) => void;
  readonly hasPendingOrder: (target: fleet.Target) => boolean;
  /** Returns the model whose weights the target is loading onto its host. */
  readonly stagingModelOf: (target: fleet.Target) => string | undefined;
  /** Reports whether the orders to join are so recent that members may not be listed yet. */
  readonly isForming: (group: KeyedGroup) => boolean;
  /**
   * Reports whether this controller formed the group and has not closed it, and no order to join that is unanswered or about
   * to be sent can still move a member to another group.
   */
  readonly mayOpen: (group: fleet.Group) => boolean;
  /** Reports whether this controller formed the group and has never ordered its head to open. */
  readonly isNeverOpened: (group: KeyedGroup) => boolean;
  /**
   * Reports whether the head may be open, or may still be opened by a delayed order; always true for a group
   * that this controller has not formed.
   */
  readonly mayBeOpening: (group: KeyedGroup) => boolean;
}

/** Whether a target accepted an order, refused it, or did not respond. */
export type OrderResponse = 'accepted' | 'refused' | 'unanswered';

/** A group identified by its key, which contains the name and the epoch. */
type KeyedGroup = Pick<fleet.Group, 'key'>;

interface PendingOrder {
  readonly target: fleet.Target;
  readonly expiresAtMs: number;
}

interface PendingFormation {
  readonly memberKeys: readonly string[];
  readonly expiresAtMs: number;
}

/** An order without a visible effect is considered lost after this time. */
const orderTimeoutMs = 2_500;
/** A target gets no other order for this time after a failed one. */
const failureBackoffMs = 500;
/** Staging is considered failed after this time; loads are slow while many targets share the weight store. */
const stagingTimeoutMs = 60_000;
/** A host that is loading weights is asked again after this time; loads take several times as long. */
const busyHostMs = 2_500;
/** A target responds to an order within 700 ms, and the list shows the effect a few hundred ms later. */
const formationTimeoutMs = 1_200;

const hasChanged = (before: fleet.Target, after: fleet.Target): boolean => {
  const one = before.membership;
  const other = after.membership;
  return one?.groupName !== other?.groupName || one?.state !== other?.state;
};

/** Creates a tracker without orders. */
export const createOrderTracker = (clock: clocks.Clock): OrderTracker => {
  const pendingOrders = new Map<string, PendingOrder>();
  const pendingStagings = new Map<string, PendingOrder & { readonly modelName: string }>();
  const pendingFormations = new Map<string, PendingFormation>();
  const formedKeys = new Set<string>();
  /** Groups whose heads were ordered to open, whatever became of it. */
  const openedKeys = new Set<string>();
  /** Groups that may be open, or may still be opened by a delayed order. */
  const openStates = new Map<string, 'ordered' | 'open' | 'unanswered'>();
  const closeModes = new Map<string, CloseMode>();
  /** The highest epoch of an unanswered order to join, by run of a target. */
  const unansweredEpochs = new Map<string, number>();

  const dropFormationsOf = (targetKey: string) =>
    pendingFormations.forEach(({ memberKeys }, key) => {
      if (memberKeys.includes(targetKey)) pendingFormations.delete(key);
    });

  const isJoiningOther = (ownKey: string, targetKey: string): boolean =>
    [...pendingFormations].some(
      ([key, { memberKeys }]) => key !== ownKey && memberKeys.includes(targetKey),
    );

  return {
    recordOrder: (target) => {
      pendingOrders.set(fleet.runKeyOf(target), {
        target,
        expiresAtMs: clock.monotonicMs() + orderTimeoutMs,
      });
    },
    recordForm: ({ key }, members) => {
      formedKeys.add(key);
      const memberKeys = members.map(fleet.runKeyOf);
      pendingFormations.set(key, {
        memberKeys,
        expiresAtMs: clock.monotonicMs() + formationTimeoutMs,
      });
    },
    recordUnsentForm: ({ key }, members) => {
      formedKeys.delete(key);
      pendingFormations.delete(key);
      members.forEach((member) => pendingOrders.delete(fleet.runKeyOf(member)));
    },
    recordJoinResponse: (target, epoch, isAnswered) => {
      const key = fleet.runKeyOf(target);
      const before = unansweredEpochs.get(key) ?? 0;
      if (!isAnswered) unansweredEpochs.set(key, Math.max(before, epoch));
      // The target has seen this epoch and rejects any lower one.
      else if (epoch >= before) unansweredEpochs.delete(key);
    },
    recordOpen: ({ key }) => {
      openedKeys.add(key);
      if (!openStates.has(key)) openStates.set(key, 'ordered');
    },
    recordOpenResponse: ({ key }, response) => {
      // An earlier order that is unanswered may arrive after this one, and after an order to close.
      if (openStates.get(key) === 'unanswered') return;
      if (response !== 'refused') {
        openStates.set(key, response === 'accepted' ? 'open' : 'unanswered');
        return;
      }
      // A head that an earlier order has opened, or may still open, refuses this one too.
      if (openStates.get(key) === 'ordered') openStates.delete(key);
    },
    recordClose: ({ key }, mode) => {
      closeModes.set(key, mode);
    },
    isFinishing: ({ key }) => closeModes.get(key) === 'finish-work',
    recordCloseResponse: ({ key }, response) => {
      if (response === 'accepted' && openStates.get(key) === 'open') openStates.delete(key);
    },
    recordStaging: (target, modelName) => {
      const expiresAtMs = clock.monotonicMs() + stagingTimeoutMs;
      pendingStagings.set(fleet.runKeyOf(target), { target, modelName, expiresAtMs });
    },
    recordBusyHost: (target, modelName) => {
      const expiresAtMs = clock.monotonicMs() + busyHostMs;
      pendingStagings.set(fleet.runKeyOf(target), { target, modelName, expiresAtMs });
    },
    recordFailure: (target) => {
      const key = fleet.runKeyOf(target);
      pendingOrders.set(key, { target, expiresAtMs: clock.monotonicMs() + failureBackoffMs });
      pendingStagings.delete(key);
      dropFormationsOf(key);
    },
    dropSettled: (listed) => {
      const nowMs = clock.monotonicMs();
      const current = new Map(
        [...listed.values()].map((target) => [fleet.runKeyOf(target), target]),
      );
      pendingOrders.forEach(({ target, expiresAtMs }, key) => {
        const now = current.get(key);
        const isSettled = now === undefined || hasChanged(target, now);
        if (isSettled || nowMs > expiresAtMs) pendingOrders.delete(key);
      });
      pendingStagings.forEach(({ modelName, expiresAtMs }, key) => {
        const now = current.get(key);
        const isSettled = now === undefined || now.stagedModels.includes(modelName);
        if (isSettled || nowMs > expiresAtMs) pendingStagings.delete(key);
      });
      pendingFormations.forEach(({ memberKeys, expiresAtMs }, key) => {
        const isMemberGone = memberKeys.some((memberKey) => !current.has(memberKey));
        const isShown = memberKeys.every((memberKey) => {
          const membership = current.get(memberKey)?.membership;
          return membership !== undefined && fleet.groupKeyOf(membership) === key;
        });
        if (isMemberGone || isShown || nowMs > expiresAtMs) pendingFormations.delete(key);
      });
    },
    hasPendingOrder: (target) => {
      const key = fleet.runKeyOf(target);
      return (
        pendingOrders.has(key) ||
        [...pendingFormations.values()].some(({ memberKeys }) => memberKeys.includes(key))
      );
    },
    stagingModelOf: (target) => pendingStagings.get(fleet.runKeyOf(target))?.modelName,
    isForming: ({ key }) => pendingFormations.has(key),
    mayOpen: ({ key, epoch, members }) =>
      formedKeys.has(key) &&
      !closeModes.has(key) &&
      members.map(fleet.runKeyOf).every((memberKey) => {
        const mayJoinLater = (unansweredEpochs.get(memberKey) ?? 0) > epoch;
        return !mayJoinLater && !isJoiningOther(key, memberKey);
      }),
    isNeverOpened: ({ key }) => formedKeys.has(key) && !openedKeys.has(key),
    mayBeOpening: ({ key }) => !formedKeys.has(key) || openStates.has(key),
  };
};
