import type * as fleet from '@comfreydrum/fleet';
import type { CloseMode, OrderOutcome } from '../TargetOrders';

/** A violated invariant: a target in two groups, a group opened too early, or too many loads. */
export type Violation = 'two-groups' | 'partial-group' | 'too-many-loads';

interface Work {
  readonly kind: 'join' | 'open' | 'stage';
  readonly modelName?: string;
  /** Remaining time of a load or wait, at full speed. */
  leftMs: number;
  readonly isLoad: boolean;
}

interface FakeTarget {
  readonly id: string;
  readonly startedAtMs: number;
  readonly fabricDomain: string;
  readonly failureDomain: string;
  staged: string[];
  loaded: string[];
  membership: fleet.GroupMembership | undefined;
  highestEpoch: number;
  /** Number of orders that began something. */
  orderCount: number;
  /** Names of the groups in which the target has been ready. */
  readonly readyGroups: Set<string>;
  members: readonly string[];
  alive: boolean;
  isPartitioned: boolean;
  diedAtMs: number;
  work: Work | undefined;
  staging: Work | undefined;
  state: 'live' | 'leaving';
}

export interface FakeFabricOptions {
  readonly engine: fleet.EngineProfile;
  /** Minimum delay until the list shows a change. */
  readonly listLagMs?: number;
  /** Time until the list drops a dead target. */
  readonly expiryMs?: number;
  /** Time after which a head breaks that lacks a member. */
  readonly stallMs?: number;
}

/** What a target reports when it is asked. */
export interface FakeReport {
  readonly startedAtMs: number;
  readonly membership: fleet.GroupMembership | undefined;
  readonly orderCount: number;
}

/** A simulation of targets that join, open and die, in simulated time that the test advances. */
export interface FakeFabric {
  readonly add: (id: string, fabricDomain: string, failureDomain: string) => void;
  readonly kill: (id: string) => void;
  /** Separates a target from every daemon; it continues to serve. */
  readonly disconnect: (id: string) => void;
  /** Ends the separation of a target. */
  readonly reconnect: (id: string) => void;
  readonly beginLeaving: (id: string) => void;
  readonly advance: (durationMs: number) => void;
  /** Returns the targets as the list shows them. */
  readonly listed: () => readonly fleet.Target[];
  readonly isReachable: (id: string) => boolean;
  /** Returns the report of a target; undefined if it can't be reached. */
  readonly report: (id: string) => FakeReport | undefined;
  /** Returns the group that a target is in, whether or not it can be reached. */
  readonly membershipOf: (id: string) => fleet.GroupMembership | undefined;
  readonly join: (
    id: string,
    order: {
      readonly groupName: string;
      readonly epoch: number;
      readonly modelName: string;
      readonly memberIds: readonly string[];
      /** The order is refused if the target has begun another number of orders. */
      readonly expectedOrderCount?: number | undefined;
    },
  ) => OrderOutcome;
  readonly open: (id: string, groupName: string) => OrderOutcome;
  /** Leaves the next order to open unanswered, and executes it after the delay if it is still possible. */
  readonly delayNextOpen: (delayMs: number) => void;
  /** Leaves the next order to join unanswered, and executes it after the delay. */
  readonly delayNextJoin: (delayMs: number) => void;
  /** Leaves the next order unanswered, and never executes it. */
  readonly loseNextOrder: () => void;
  readonly close: (id: string, groupName: string, mode: CloseMode) => OrderOutcome;
  readonly leave: (id: string, groupName: string) => OrderOutcome;
  readonly stage: (id: string, modelName: string) => OrderOutcome;
  /** Returns the number of groups of a model that can serve now. */
  readonly servingCount: (modelName: string) => number;
  readonly aliveIds: () => readonly string[];
  readonly isAlive: (id: string) => boolean;
  readonly violations: readonly Violation[];
  /** When each load from the weight store began. */
  readonly loadsBegunAtMs: readonly number[];
  readonly nowMs: () => number;
}

const inMemoryJoinMs = 200;
const formMs = 300;
const closeMs = 50;
const stepMs = 10;
const defaultListLagMs = 50;
/** The slowest entries of the list lag up to this many times as much as the fastest. */
const lagSteps = 4;
const defaultExpiryMs = 3_600;
const defaultStallMs = 4_000;
const stallCheckMs = 100;

/** Creates a fabric without targets. */
export const createFakeFabric = ({
  engine,
  listLagMs = defaultListLagMs,
  expiryMs = defaultExpiryMs,
  stallMs = defaultStallMs,
}: FakeFabricOptions): FakeFabric => {
  const targets = new Map<string, FakeTarget>();
  const violations: Violation[] = [];
  const loadsBegunAtMs: number[] = [];
  const snapshots: { readonly atMs: number; readonly list: readonly fleet.Target[] }[] = [];
  const lateOpens: { readonly atMs: number; readonly id: string; readonly groupName: string }[] =
    [];
  const lateJoins: { readonly atMs: number; readonly carryOut: () => void }[] = [];
  let nextOpenDelayMs: number | undefined;
  let nextJoinDelayMs: number | undefined;
  /** Since when the groups of heads have lacked a member. */
  const standsStillSinceMs = new Map<string, number>();
  let isNextOrderLost = false;
  let nowMs = 0;

  const listLagOf = (id: string): number => {
    const sum = [...id].reduce((total, letter) => total + letter.charCodeAt(0), 0);
    return listLagMs * (1 + (sum % lagSteps));
  };

  const modelOf = (name: string) => engine.models.find((model) => model.name === name)!;

  const setState = (id: string, state: fleet.MembershipState) => {
    const target = targets.get(id);
    if (target?.membership) target.membership = { ...target.membership, state };
  };

  const headOf = ({ members }: FakeTarget) => targets.get(members[0] ?? '');

  /** Reports whether the head of a target's group serves, closes, or has begun to open. */
  const isInActiveGroup = (target: FakeTarget): boolean => {
    const head = headOf(target);
    const own = target.membership;
    if (own === undefined || head === undefined || !head.alive) return false;
    if (head.membership?.groupName !== own.groupName) return false;
    const isOpening = head.work?.kind === 'open';
    return isOpening || ['open', 'closing'].includes(head.membership.state);
  };

  const isWhole = (head: FakeTarget): boolean =>
    head.members.every((id) => {
      const member = targets.get(id);
      return member?.alive === true && member.membership?.groupName === head.membership?.groupName;
    });

  const snapshot = (): readonly fleet.Target[] =>
    [...targets.values()]
      .filter(({ alive, diedAtMs }) => alive || nowMs - diedAtMs < expiryMs)
      .map((target) => ({
        id: target.id,
        startedAtMs: target.startedAtMs,
        serviceName: 'models',
        address: `${target.id}:1`,
        failureDomain: target.failureDomain,
        state: target.state,
        slots: engine.slotsPerGroup,
        fabricDomain: target.fabricDomain,
        stagedModels: target.staged,
        loadedModels: target.loaded,
        membership: target.membership,
      }));

  const loadCount = () =>
    [...targets.values()]
      .filter(({ alive }) => alive)
      .flatMap(({ work, staging }) => [work, staging])
      .filter((work) => work?.isLoad).length;

  const finish = (id: string, work: Work) => {
    const target = targets.get(id)!;
    const modelName = work.modelName!;
    if (work.kind === 'open') {
      setState(id, 'open');
      return;
    }
    if (work.isLoad) target.staged = [modelName];
    if (work.kind === 'stage') return;
    target.loaded = [modelName];
    if (target.membership) target.readyGroups.add(target.membership.groupName);
    setState(id, 'ready');
  };

  const advanceWork = (id: string, key: 'work' | 'staging', slowdown: number) => {
    const target = targets.get(id)!;
    const work = target[key];
    if (work === undefined) return;
    work.leftMs -= work.isLoad ? stepMs / slowdown : stepMs;
    if (work.leftMs > 0) return;
    target[key] = undefined;
    finish(id, work);
  };

  /** Breaks the heads whose groups have lacked a member for the stall time. */
  const breakHeads = () =>
    targets.forEach((head, id) => {
      const { membership } = head;
      const serves = membership?.rank === 0 && ['open', 'closing'].includes(membership.state);
      if (!head.alive || !serves || isWhole(head)) {
        standsStillSinceMs.delete(id);
        return;
      }
      const sinceMs = standsStillSinceMs.get(id) ?? nowMs;
      standsStillSinceMs.set(id, sinceMs);
      if (nowMs - sinceMs < stallMs) return;
      setState(id, 'broken');
    });

  const runLateOpens = () => {
    while (lateOpens[0] !== undefined && lateOpens[0].atMs <= nowMs) {
      const { id, groupName } = lateOpens.shift()!;
      const target = targets.get(id);
      const { membership } = target ?? {};
      if (target?.alive && membership?.groupName === groupName && membership.state === 'ready') {
        target.orderCount += 1;
        target.work = { kind: 'open', leftMs: formMs, isLoad: false };
      }
    }
  };

  const step = () => {
    runLateOpens();
    lateJoins
      .splice(0)
      .forEach((join) => (join.atMs <= nowMs ? join.carryOut() : lateJoins.push(join)));
    const slowdown = Math.max(1, loadCount() / engine.concurrentLoads);
    targets.forEach(({ alive }, id) => {
      if (!alive) return;
      advanceWork(id, 'work', slowdown);
      advanceWork(id, 'staging', slowdown);
    });
    nowMs += stepMs;
    if (nowMs % stallCheckMs === 0) breakHeads();
    snapshots.push({ atMs: nowMs, list: snapshot() });
    while (snapshots.length > 1 && snapshots[1]!.atMs <= nowMs - listLagMs * lagSteps)
      snapshots.shift();
  };

  const findReachable = (id: string): FakeTarget | undefined => {
    const target = targets.get(id);
    return target?.alive && !target.isPartitioned ? target : undefined;
  };

  /** Returns the target if an order arrives there. */
  const findForOrder = (id: string): FakeTarget | undefined => {
    const isLost = isNextOrderLost;
    isNextOrderLost = false;
    return isLost ? undefined : findReachable(id);
  };

  const join: FakeFabric['join'] = (id, order) => {
    const { groupName, epoch, modelName, memberIds, expectedOrderCount } = order;
    const target = findReachable(id);
    if (target === undefined) return 'unanswered';
    if (epoch < target.highestEpoch) return 'outdated';
    if (expectedOrderCount !== undefined && expectedOrderCount !== target.orderCount) {
      return 'conflict';
    }
    if (target.membership?.groupName !== groupName && isInActiveGroup(target)) {
      violations.push('two-groups');
    }
    const model = modelOf(modelName);
    const isLoad = !target.loaded.includes(modelName) && !target.staged.includes(modelName);
    const hostMs = target.staged.includes(modelName) ? model.stagedJoinMs : model.loadMs;
    const leftMs = target.loaded.includes(modelName) ? inMemoryJoinMs : hostMs;
    target.highestEpoch = epoch;
    target.orderCount += 1;
    target.members = memberIds;
    target.loaded = target.loaded.filter((name) => name === modelName);
    target.membership = {
      groupName,
      epoch,
      rank: memberIds.indexOf(id),
      state: 'joining',
    };
    target.work = { kind: 'join', modelName, leftMs, isLoad };
    if (isLoad) loadsBegunAtMs.push(nowMs);
    return 'accepted';
  };

  return {
    add: (id, fabricDomain, failureDomain) => {
      targets.set(id, {
        id,
        startedAtMs: nowMs,
        fabricDomain,
        failureDomain,
        staged: [],
        loaded: [],
        membership: undefined,
        highestEpoch: 0,
        orderCount: 0,
        readyGroups: new Set(),
        members: [],
        alive: true,
        isPartitioned: false,
        diedAtMs: 0,
        work: undefined,
        staging: undefined,
        state: 'live',
      });
    },
    kill: (id) => {
      const target = targets.get(id);
      if (!target?.alive) return;
      target.alive = false;
      target.diedAtMs = nowMs;
    },
    disconnect: (id) => {
      const target = targets.get(id);
      if (target) target.isPartitioned = true;
    },
    reconnect: (id) => {
      const target = targets.get(id);
      if (target) target.isPartitioned = false;
    },
    beginLeaving: (id) => {
      const target = targets.get(id);
      if (target) target.state = 'leaving';
    },
    advance: (durationMs) => {
      for (let leftMs = durationMs; leftMs > 0; leftMs -= stepMs) step();
    },
    listed: () => {
      // Entries are written one by one, so a list can mix earlier and later states.
      const at = (lagMs: number) =>
        snapshots.findLast(({ atMs }) => atMs <= nowMs - lagMs)?.list ??
        snapshots[0]?.list ??
        snapshot();
      const byLag = new Map<number, ReadonlyMap<string, fleet.Target>>();
      const listAt = (lagMs: number) => {
        const known = byLag.get(lagMs) ?? new Map(at(lagMs).map((entry) => [entry.id, entry]));
        byLag.set(lagMs, known);
        return known;
      };
      const latest = at(0);
      return latest.flatMap(({ id }) => listAt(listLagOf(id)).get(id) ?? []);
    },
    isReachable: (id) => findReachable(id) !== undefined,
    report: (id) => {
      const target = findReachable(id);
      if (target === undefined) return undefined;
      const { startedAtMs, membership, orderCount } = target;
      return { startedAtMs, membership, orderCount };
    },
    membershipOf: (id) => targets.get(id)?.membership,
    loseNextOrder: () => {
      isNextOrderLost = true;
    },
    delayNextJoin: (delayMs) => {
      nextJoinDelayMs = delayMs;
    },
    join: (id, order) => {
      if (findForOrder(id) === undefined) return 'unanswered';
      if (nextJoinDelayMs === undefined) return join(id, order);
      lateJoins.push({ atMs: nowMs + nextJoinDelayMs, carryOut: () => join(id, order) });
      nextJoinDelayMs = undefined;
      return 'unanswered';
    },
    open: (id, groupName) => {
      const target = findForOrder(id);
      if (target === undefined) return 'unanswered';
      const { membership } = target;
      if (membership?.groupName !== groupName || membership.state !== 'ready') return 'conflict';
      if (nextOpenDelayMs !== undefined) {
        lateOpens.push({ atMs: nowMs + nextOpenDelayMs, id, groupName });
        nextOpenDelayMs = undefined;
        return 'unanswered';
      }
      // A member lost after it was ready is no violation; one that has never been ready is.
      const wereReady = target.members.every((member) =>
        targets.get(member)?.readyGroups.has(groupName),
      );
      if (!wereReady) violations.push('partial-group');
      target.orderCount += 1;
      target.work = { kind: 'open', leftMs: formMs, isLoad: false };
      return 'accepted';
    },
    delayNextOpen: (delayMs) => {
      nextOpenDelayMs = delayMs;
    },
    close: (id, groupName) => {
      const target = findForOrder(id);
      if (target === undefined) return 'unanswered';
      if (target.membership?.groupName !== groupName) return 'conflict';
      target.orderCount += 1;
      setState(id, 'closing');
      target.work = { kind: 'join', modelName: target.loaded[0], leftMs: closeMs, isLoad: false };
      return 'accepted';
    },
    leave: (id, groupName) => {
      const target = findForOrder(id);
      if (target === undefined) return 'unanswered';
      if (target.membership?.groupName !== groupName) return 'conflict';
      target.orderCount += 1;
      target.membership = undefined;
      return 'accepted';
    },
    stage: (id, modelName) => {
      const target = findForOrder(id);
      if (target === undefined) return 'unanswered';
      if (target.staging !== undefined) return 'conflict';
      const { loadMs } = modelOf(modelName);
      target.orderCount += 1;
      loadsBegunAtMs.push(nowMs);
      target.staging = { kind: 'stage', modelName, leftMs: loadMs, isLoad: true };
      return 'accepted';
    },
    servingCount: (modelName) =>
      [...targets.values()].filter(
        (target) =>
          target.alive &&
          target.membership?.rank === 0 &&
          target.membership.state === 'open' &&
          target.loaded[0] === modelName &&
          isWhole(target),
      ).length,
    isAlive: (id) => targets.get(id)?.alive === true,
    aliveIds: () => [...targets.values()].filter(({ alive }) => alive).map(({ id }) => id),
    violations,
    loadsBegunAtMs,
    nowMs: () => nowMs,
  };
};
