import * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import * as telemetry from '@comfreydrum/telemetry';
import { toOrderResponse } from '../toOrderResponse';
import { createOrderTracker } from '../createOrderTracker';
import { findObstacle } from '../findObstacle';
import { createRegistrationWatch } from '../createRegistrationWatch';
import type { FormationStep } from '../FormationStep';
import { createMixControl } from '../createMixControl';
import { mixSeconds } from '../decideMix';
import type { DemandSecond } from '../DemandSecond';
import { maxSoundSilenceMs } from '../maxSoundSilenceMs';
import { planFormation, type FormationInput } from '../planFormation';
import type { FakeFabric } from './createFakeFabric';

/** A controller that runs in the simulated time of a fake fabric. */
export interface SimulatedController {
  /** Advances the time, and plans and executes steps at each tick. */
  readonly advance: (durationMs: number) => void;
  /** Discards the controller's state and raises the token, as when another daemon takes over that has just started. */
  readonly takeOver: (list?: StandbyList) => void;
  /** Has the controller see the list as it is now for a time. */
  readonly holdList: (durationMs: number) => void;
  /** Sets whether callers send requests. Until they do, targets may load weights to join groups. */
  readonly setTraffic: (hasTraffic: boolean) => void;
  /** Sets the work that arrives in each second, which the controller learns of from then on. */
  readonly setDemand: (demand: DemandSecond) => void;
  /** Returns the number of steps that were executed. */
  readonly orderCount: () => number;
}

/** The list of a daemon that takes over. */
export interface StandbyList {
  /** Age of the list when the daemon takes over. */
  readonly ageMs: number;
  /** Time until it gets a later one. */
  readonly heldMs: number;
}

/** Rules of formation that a test can suspend, to see what they prevent. */
export interface SimulatedRules {
  /** Whether a controller waits for a list that is newer than its token. */
  readonly waitsForList: boolean;
  /** Whether a group is formed only of targets whose reports confirm that they are free. */
  readonly confirmsMembers: boolean;
}

type FormStep = Extract<FormationStep, { readonly kind: 'form' }>;

const allRules: SimulatedRules = { waitsForList: true, confirmsMembers: true };

const tickIntervalMs = 50;
const ticksPerSecond = 20;
const maxListAgeMs = 4_500;
/** Lists are kept for this time, for daemons that take over with an earlier one. */
const listRetentionMs = 6_000;
/** A head that was never listed no longer serves after this time. */
const unknownHeadTimeoutMs = 8_000;
/** Time until probes detect that a target is dead. */
const defaultDetectionMs = 400;

const createSilentMixControl = (clock: clocks.Clock) =>
  createMixControl({
    clock,
    log: telemetry.createLog({ level: 'silent', instanceId: 'test' }),
    metrics: telemetry.createMetrics(),
  });

/** Creates a controller that executes the planner's steps on a fake fabric. */
export const simulateController = (
  fabric: FakeFabric,
  engine: fleet.EngineProfile,
  detectionMs = defaultDetectionMs,
  suspended: Partial<SimulatedRules> = {},
): SimulatedController => {
  const rules = { ...allRules, ...suspended };
  const clock = clocks.createManualClock();
  const lists: { readonly atMs: number; readonly targets: readonly fleet.Target[] }[] = [];
  /** Joins whose members have confirmed that they are free, sent at the next tick. */
  let confirmedJoins: readonly (() => void)[] = [];
  let listHeldUntilMs = -Infinity;
  let list: (typeof lists)[number] = { atMs: -Infinity, targets: [] };
  let tokenSinceMs = -Infinity;
  const headMissingSinceMs = new Map<string, number>();
  const deadSinceMs = new Map<string, number>();
  const headIds = new Map<string, string>();
  const registrationWatch = createRegistrationWatch(clock);
  let orderTracker = createOrderTracker(clock);
  let token = 1;
  let epochCount = 0;
  let hasTraffic = false;
  let orderCount = 0;
  let modelByDomain: ReadonlyMap<string, string> = new Map();
  let mixControl = createSilentMixControl(clock);
  /** The latest second first. */
  let demandSeconds: readonly DemandSecond[] = [];
  let demand: DemandSecond | undefined;
  let demandTickCount = 0;

  const observeDemand = () => {
    if (demand === undefined) return;
    demandTickCount += 1;
    if (demandTickCount % ticksPerSecond !== 0) return;
    demandSeconds = [demand, ...demandSeconds].slice(0, mixSeconds);
  };

  const unreachedMsOf = (id: string): number => {
    if (fabric.isReachable(id)) {
      deadSinceMs.delete(id);
      return -Infinity;
    }
    const sinceMs = deadSinceMs.get(id) ?? fabric.nowMs();
    deadSinceMs.set(id, sinceMs);
    return fabric.nowMs() - sinceMs;
  };

  const hasEnded = (id: string) => !fabric.isAlive(id);

  const isLost = ({ id }: Pick<fleet.Target, 'id'>): boolean => unreachedMsOf(id) >= detectionMs;

  const isSurelyLost = ({ id }: Pick<fleet.Target, 'id'>): boolean =>
    isLost({ id }) && (hasEnded(id) || unreachedMsOf(id) >= maxSoundSilenceMs);

  const isHeadGone = ({ key }: Pick<fleet.Group, 'key'>): boolean => {
    const headId = headIds.get(key);
    if (headId !== undefined) return isSurelyLost({ id: headId });
    const sinceMs = headMissingSinceMs.get(key) ?? fabric.nowMs();
    headMissingSinceMs.set(key, sinceMs);
    return fabric.nowMs() - sinceMs >= unknownHeadTimeoutMs;
  };

  const sendJoins = (
    { modelName, members }: FormStep,
    ref: { readonly groupName: string; readonly epoch: number },
    orderCounts: ReadonlyMap<string, number>,
  ) => {
    const memberIds = members.map(({ id }) => id);
    orderTracker.recordForm({ key: fleet.groupKeyOf(ref) }, members);
    members.forEach((member) => {
      orderTracker.recordOrder(member);
      const expectedOrderCount = orderCounts.get(member.id);
      const outcome = fabric.join(member.id, { ...ref, modelName, memberIds, expectedOrderCount });
      orderTracker.recordJoinResponse(member, ref.epoch, outcome !== 'unanswered');
      if (outcome !== 'accepted') orderTracker.recordFailure(member);
    });
  };

  /** Orders the members to join if their reports confirm that they are free, as formation does. */
  const formGroup = (step: FormStep) => {
    epochCount += 1;
    const epoch = token * 1_000 + epochCount;
    const ref = { groupName: fleet.formatGroupName(step.modelName, epoch), epoch };
    if (!rules.confirmsMembers) {
      sendJoins(step, ref, new Map());
      return;
    }
    const group = { key: fleet.groupKeyOf(ref) };
    step.members.forEach(orderTracker.recordOrder);
    orderTracker.recordForm(group, step.members);
    const reports = step.members.map((member) => ({ member, report: fabric.report(member.id) }));
    const unconfirmed = reports.filter(
      ({ member, report }) =>
        report === undefined ||
        report.startedAtMs !== member.startedAtMs ||
        findObstacle(member.membership, report.membership) !== undefined,
    );
    if (unconfirmed.length > 0) {
      orderTracker.recordUnsentForm(group, step.members);
      unconfirmed.forEach(({ member }) => orderTracker.recordFailure(member));
      return;
    }
    const orderCounts = new Map(
      reports.map(({ member, report }) => [member.id, report!.orderCount]),
    );
    confirmedJoins = [...confirmedJoins, () => sendJoins(step, ref, orderCounts)];
  };

  const executeStep = (step: FormationStep) => {
    switch (step.kind) {
      case 'form':
        formGroup(step);
        return;
      case 'open':
        orderTracker.recordOrder(step.head);
        orderTracker.recordOpen(step.group);
        {
          const outcome = fabric.open(step.head.id, step.group.name);
          orderTracker.recordOpenResponse(step.group, toOrderResponse(outcome));
          if (outcome !== 'accepted') orderTracker.recordFailure(step.head);
        }
        return;
      case 'close':
        orderTracker.recordOrder(step.head);
        orderTracker.recordClose(step.group, step.mode);
        orderTracker.recordCloseResponse(
          step.group,
          toOrderResponse(fabric.close(step.head.id, step.group.name, step.mode)),
        );
        return;
      case 'leave':
        orderTracker.recordOrder(step.member);
        fabric.leave(step.member.id, step.group.name);
        return;
      default:
        orderTracker.recordStaging(step.target, step.modelName);
        {
          const outcome = fabric.stage(step.target.id, step.modelName);
          if (outcome === 'conflict') orderTracker.recordBusyHost(step.target, step.modelName);
          else if (outcome !== 'accepted') orderTracker.recordFailure(step.target);
        }
    }
  };

  const readList = () => {
    lists.push({ atMs: fabric.nowMs(), targets: fabric.listed() });
    while (lists[0]!.atMs < fabric.nowMs() - listRetentionMs) lists.shift();
    if (fabric.nowMs() >= listHeldUntilMs) list = lists.at(-1)!;
  };

  const isListCurrent = () =>
    fabric.nowMs() - list.atMs <= maxListAgeMs &&
    (!rules.waitsForList || list.atMs >= tokenSinceMs);

  const step = () => {
    const joins = confirmedJoins;
    confirmedJoins = [];
    joins.forEach((join) => join());
    readList();
    const { targets } = list;
    if (!isListCurrent()) return;
    const listed = new Map(targets.map((target) => [target.id, target]));
    orderTracker.dropSettled(listed);
    fleet.groupsOf(targets).forEach(({ key, head }) => {
      if (head !== undefined) headIds.set(key, head.id);
    });
    const input: FormationInput = {
      engine,
      targets,
      isLost,
      isSurelyLost,
      isFinishing: orderTracker.isFinishing,
      isHeadGone,
      hasHeadLeft: ({ key, name }) => {
        const headId = headIds.get(key);
        const head = headId === undefined ? undefined : listed.get(headId);
        const isListedElsewhere = head !== undefined && head.membership?.groupName !== name;
        return isListedElsewhere || orderTracker.isNeverOpened({ key });
      },
      isForming: orderTracker.isForming,
      mayOpen: orderTracker.mayOpen,
      mayBeOpening: orderTracker.mayBeOpening,
      hasPendingOrder: orderTracker.hasPendingOrder,
      stagingModelOf: orderTracker.stagingModelOf,
      modelByDomain,
      isBeforeTraffic: !hasTraffic,
      isRegistering: registrationWatch.observe('models', targets.length),
    };
    const conversion = mixControl.next('models', input, demandSeconds);
    const plan = planFormation({ ...input, conversion });
    modelByDomain = plan.modelByDomain;
    orderCount += plan.steps.length;
    plan.steps.forEach(executeStep);
  };

  return {
    advance: (durationMs) => {
      for (let leftMs = durationMs; leftMs > 0; leftMs -= tickIntervalMs) {
        fabric.advance(tickIntervalMs);
        clock.advance(tickIntervalMs);
        observeDemand();
        step();
      }
    },
    takeOver: ({ ageMs, heldMs } = { ageMs: 0, heldMs: 0 }) => {
      const nowMs = fabric.nowMs();
      list = lists.findLast(({ atMs }) => atMs <= nowMs - ageMs) ?? lists[0] ?? list;
      listHeldUntilMs = nowMs + heldMs;
      tokenSinceMs = nowMs;
      confirmedJoins = [];
      headIds.clear();
      headMissingSinceMs.clear();
      orderTracker = createOrderTracker(clock);
      modelByDomain = new Map();
      mixControl = createSilentMixControl(clock);
      demandSeconds = [];
      demandTickCount = 0;
      token += 1;
    },
    holdList: (durationMs) => {
      listHeldUntilMs = fabric.nowMs() + durationMs;
    },
    setTraffic: (next) => {
      hasTraffic = next;
    },
    setDemand: (next) => {
      demand = next;
    },
    orderCount: () => orderCount,
  };
};
