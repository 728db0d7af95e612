import type * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import * as fleet from '@comfreydrum/fleet';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as peers from '@comfreydrum/peers';
import * as telemetry from '@comfreydrum/telemetry';
import * as zod from 'zod';
import type { Lease } from './createLease';
import { confirmMembers } from './confirmMembers';
import { toOrderResponse } from './toOrderResponse';
import { createHeadCheck } from './createHeadCheck';
import { createLossDetector } from './createLossDetector';
import { createMixControl } from './createMixControl';
import { busyTargetsOf } from './busyTargetsOf';
import { mixSeconds } from './decideMix';
import type { DemandSecond } from './DemandSecond';
import { createMemberCheck } from './createMemberCheck';
import { createSharedMemberCheck, type SharedMemberCheck } from './createSharedMemberCheck';
import { createStepPace } from './createStepPace';
import { createOrderTracker } from './createOrderTracker';
import { createRegistrationWatch } from './createRegistrationWatch';
import type { FormationStep } from './FormationStep';
import { planFormation, type FormationInput } from './planFormation';
import { summarizeFleet } from './summarizeFleet';
import type { FencedOrder, GroupRef, OrderOutcome, TargetOrders } from './TargetOrders';

/** A target that may be lost, since a request to it failed. */
export interface Suspicion {
  readonly targetId: string;
  /** Whether the target was probed and did not respond. */
  readonly isSilent: boolean;
}

/** Forms and repairs groups while this daemon holds the lease. */
export interface Formation {
  /** Probes a suspected target, or forwards the suspicion if another daemon is the controller. */
  readonly suspect: (suspicion: Suspicion) => void;
  /** Has the members of a group that is silent for `silentMs` probed; reports and returns the unresponsive ones. */
  readonly findUnresponsive: SharedMemberCheck['findUnresponsive'];
  /** Reports whether orders are so recent that the list may not show their effect yet. */
  readonly hasRecentOrders: () => boolean;
  readonly component: lifecycle.Component;
}

/** Dependencies of formation. */
export interface FormationOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly metrics: telemetry.Metrics;
  readonly plan: fleet.PlanTracker;
  readonly targets: fleet.TargetList;
  readonly evacuations: Pick<fleet.Evacuations, 'isEvacuated'>;
  readonly orders: TargetOrders;
  readonly lease: Lease;
  readonly calls: peers.PeerCalls;
  /** Address at which other daemons call this one. */
  readonly address: string;
  /** Reports whether this daemon has received no request from a caller yet. */
  readonly isBeforeTraffic: () => boolean;
  /** Returns the work that arrived in the fleet in each of the last seconds, the latest first, as far as it is known. */
  readonly demand?: (serviceName: string, seconds: number) => readonly DemandSecond[];
}

const tickIntervalMs = 100;
const summaryIntervalMs = 1_000;
/** No orders are sent on the basis of a list older than this. */
const maxListAgeMs = 4_500;
const suspectMethod = 'formation.suspect';
const suspectTimeoutMs = 400;
/** Minimum time between two suspicions of the same target from one daemon. */
const minSuspicionIntervalMs = 300;
/** Within this time a group closes, joins from staged weights and opens, and the list shows each step. */
const orderVisibilityMs = 4_000;
/** Number of epochs per lease token; an epoch is the token times this number plus a counter. */
const epochsPerToken = 10_000;

/** What this daemon has done for the fleet since the last summary. */
interface ControlWork {
  readonly stepCount: number;
  readonly planningMs: number;
  readonly suspicionCount: number;
}

const noWork: ControlWork = { stepCount: 0, planningMs: 0, suspicionCount: 0 };

const suspicionSchema = zod.object({ targetId: zod.string(), isSilent: zod.boolean() });

/** Describes the group that a target is listed in, for the log. */
const describeMembership = ({ id, membership }: fleet.Target): string =>
  membership === undefined
    ? `${id}: none`
    : `${id}: ${membership.groupName} ${membership.rank} ${membership.state}`;

/** Reports whether a group was formed under a token. */
const isFormedUnder = ({ epoch }: fleet.Group, token: number): boolean =>
  Math.floor(epoch / epochsPerToken) === token;

/** Creates formation for a daemon, and handles the suspicions that other daemons forward. */
export const createFormation = (options: FormationOptions): Formation => {
  const { clock, targets, plan, orders, lease, calls } = options;
  const log = options.log.child({ part: 'formation' });
  const orderCount = options.metrics.counter(
    'comfreydrum_orders_total',
    'Orders to targets, by what became of them.',
    ['order', 'outcome'],
  );
  const unformedCount = options.metrics.counter(
    'comfreydrum_unformed_groups_total',
    'Groups that were planned and not formed, as their members or the lease had changed.',
    ['cause'],
  );
  const orderTracker = createOrderTracker(clock);
  const registrationWatch = createRegistrationWatch(clock);
  const mixControl = createMixControl({ clock, log, metrics: options.metrics });
  const pace = createStepPace(clock);
  const processLoad = telemetry.createProcessLoad(clock, tickIntervalMs);
  let work = noWork;
  let workReportedAtMs = -Infinity;
  const reportedAtMs = new Map<string, number>();
  const summarizedAtMs = new Map<string, number>();
  const modelsByService = new Map<string, ReadonlyMap<string, string>>();
  let timer: NodeJS.Timeout | undefined;
  let epochCount = 0;
  let mixToken: number | undefined;
  /** The token under which this daemon acted last, and the time from which it might. */
  let actingToken: number | undefined;
  let actingSinceMs = -Infinity;
  let isScheduled = false;
  let lastOrderAtMs = -Infinity;

  /** Plans and executes the next steps. Assigned below, as it uses values that are created later. */
  let runStep = () => {};

  const scheduleStep = () => {
    if (isScheduled) return;
    isScheduled = true;
    setTimeout(() => {
      isScheduled = false;
      runStep();
    }, pace.waitMs());
  };

  const detector = createLossDetector({ clock, log, orders, onChange: scheduleStep });
  const headCheck = createHeadCheck({
    clock,
    log,
    orders,
    calls,
    random: Math.random,
    peerAddresses: lease.peerAddresses,
    onReached: detector.recordResponse,
    onChange: scheduleStep,
  });

  const recordOutcome = (
    target: fleet.Target,
    order: string,
    outcome: OrderOutcome,
    fields: Readonly<Record<string, unknown>>,
  ) => {
    orderCount.add({ order, outcome });
    log.info(
      { step: order, targetId: target.id, peer: target.address, outcome, ...fields },
      'order outcome',
    );
    if (outcome === 'outdated') lease.resign(`target ${target.id} has seen a higher token`);
    if (outcome !== 'accepted' && !(order === 'stage' && outcome === 'conflict')) {
      orderTracker.recordFailure(target);
    }
    if (outcome === 'unanswered' || outcome === 'wrong-target') detector.suspect([target], false);
  };

  const sendOrder = (
    target: fleet.Target,
    order: string,
    fields: Readonly<Record<string, unknown>>,
    send: () => Promise<OrderOutcome>,
  ) => {
    void send()
      .then((outcome) => recordOutcome(target, order, outcome, fields))
      .catch((cause: unknown) =>
        log.error({ step: order, targetId: target.id }, errors.describeCause(cause)),
      );
  };

  /** Logs a summary of a service, at most once per interval. */
  const summarize = (
    serviceName: string,
    input: FormationInput,
    seconds: readonly DemandSecond[],
  ) => {
    const nowMs = clock.monotonicMs();
    if (nowMs - (summarizedAtMs.get(serviceName) ?? -Infinity) < summaryIntervalMs) return;
    summarizedAtMs.set(serviceName, nowMs);
    const busyTargets = Object.fromEntries(
      [...busyTargetsOf(input.engine.models, seconds)].map(([name, count]) => [
        name,
        Math.round(count),
      ]),
    );
    log.info(
      {
        step: 'fleet',
        service: serviceName,
        ...summarizeFleet(input),
        ...(seconds.length > 0 ? { busyTargets } : {}),
      },
      'fleet summary',
    );
  };

  /** Logs what this daemon does as the holder of the lease, at most once per interval. */
  const reportWork = () => {
    const nowMs = clock.monotonicMs();
    if (nowMs - workReportedAtMs < summaryIntervalMs) return;
    workReportedAtMs = nowMs;
    log.info(
      {
        step: 'control',
        daemonCount: lease.daemonCount(),
        ...work,
        planningMs: Math.round(work.planningMs),
        ...processLoad.read(),
      },
      'work of the holder',
    );
    work = noWork;
  };

  /** Returns the head of a group as it was last listed, as far as it is known. */
  const headOf = (groupKey: string): fleet.Target | undefined => {
    const head = headCheck.headOf(groupKey);
    return head && (targets.all().get(head.id) ?? head);
  };

  /** Orders the members to join if their own reports confirm that they are free. */
  const formGroup = async (
    { modelName, members }: Extract<FormationStep, { readonly kind: 'form' }>,
    ref: FencedOrder & GroupRef,
  ) => {
    const { groupName, epoch, token } = ref;
    const group = { key: fleet.groupKeyOf(ref) };
    const reserve = () => {
      members.forEach(orderTracker.recordOrder);
      orderTracker.recordForm(group, members);
    };
    reserve();
    const { confirmed, unconfirmed } = await confirmMembers(orders, members, headOf);
    const state = lease.state();
    const mayAct = state.kind === 'holder' && state.mayAct && state.token === token;
    const lost = members.filter(detector.isLost);
    if (!mayAct || unconfirmed.length > 0 || lost.length > 0) {
      orderTracker.recordUnsentForm(group, members);
      unconfirmed.forEach(({ target }) => orderTracker.recordFailure(target));
      const reasons = [
        ...unconfirmed.map(({ target, reason }) => `${target.id}: ${reason}`),
        ...lost.map(({ id }) => `${id}: considered lost`),
      ];
      unformedCount.add({ cause: mayAct ? 'members' : 'lease' });
      log.info({ step: 'form', groupName, epoch, mayAct, reasons }, 'group not formed');
      const silent = unconfirmed.filter(({ isSilent }) => isSilent);
      detector.suspect(
        silent.map(({ target }) => target),
        false,
      );
      scheduleStep();
      return;
    }
    const memberIds = members.map(({ id }) => id);
    // The reports took a part of the time within which the effect of the orders must be listed.
    reserve();
    confirmed.forEach(({ target, orderCount: expectedOrderCount }) => {
      const order = { ...ref, modelName, memberIds, expectedOrderCount };
      sendOrder(target, 'join', { groupName, epoch, expectedOrderCount }, async () => {
        const outcome = await orders.join(target, order);
        orderTracker.recordJoinResponse(target, epoch, outcome !== 'unanswered');
        return outcome;
      });
    });
  };

  const executeStep = (next: FormationStep, token: number) => {
    // Staging takes many seconds and nothing waits for it, so the list need not be read more often.
    if (next.kind !== 'stage') lastOrderAtMs = clock.monotonicMs();
    switch (next.kind) {
      case 'form': {
        epochCount += 1;
        const epoch = token * epochsPerToken + epochCount;
        const { members, reason } = next;
        const groupName = fleet.formatGroupName(next.modelName, epoch);
        log.info(
          {
            step: 'form',
            groupName,
            epoch,
            memberIds: members.map(({ id }) => id),
            reason,
            token,
            actsForMs: Math.round(clock.monotonicMs() - actingSinceMs),
            listAgeMs: Math.round(targets.ageMs()),
            listed: members.map(describeMembership),
          },
          'forming group',
        );
        formGroup(next, { token, groupName, epoch }).catch((cause: unknown) =>
          log.error({ step: 'form', groupName }, errors.describeCause(cause)),
        );
        return;
      }
      case 'open': {
        const { group, head } = next;
        const ref = { token, groupName: group.name, epoch: group.epoch };
        orderTracker.recordOrder(head);
        orderTracker.recordOpen(group);
        sendOrder(head, 'open', ref, async () => {
          const outcome = await orders.open(head, ref);
          orderTracker.recordOpenResponse(group, toOrderResponse(outcome));
          return outcome;
        });
        return;
      }
      case 'close': {
        const { group, head, mode, reason } = next;
        const ref = { token, groupName: group.name, epoch: group.epoch };
        orderTracker.recordOrder(head);
        orderTracker.recordClose(group, mode);
        sendOrder(head, 'close', { ...ref, mode, reason }, async () => {
          const outcome = await orders.close(head, ref, mode);
          orderTracker.recordCloseResponse(group, toOrderResponse(outcome));
          return outcome;
        });
        return;
      }
      case 'leave': {
        const { group, member, reason } = next;
        const ref = { token, groupName: group.name, epoch: group.epoch };
        orderTracker.recordOrder(member);
        sendOrder(member, 'leave', { ...ref, reason }, () => orders.leave(member, ref));
        return;
      }
      case 'stage': {
        const { target, modelName, reason } = next;
        orderTracker.recordStaging(target, modelName);
        sendOrder(target, 'stage', { modelName, reason }, async () => {
          const outcome = await orders.stage(target, { token, modelName });
          if (outcome === 'conflict') orderTracker.recordBusyHost(target, modelName);
          return outcome;
        });
        return;
      }
      default:
        errors.unreachable(next);
    }
  };

  /** Reports whether the list is recent, and was read after the holder before this one had stopped acting. */
  const isListCurrent = (actsFromMs: number): boolean => {
    const ageMs = targets.ageMs();
    return ageMs <= maxListAgeMs && ageMs <= clock.monotonicMs() - actsFromMs;
  };

  const planAndExecute = () => {
    headCheck.recordHeads(targets.groups());
    const state = lease.state();
    const current = plan.current();
    if (state.kind !== 'holder' || current === undefined) return;
    if (state.token !== mixToken) mixControl.reset();
    mixToken = state.token;
    if (!state.mayAct || !targets.isSettled() || !isListCurrent(state.actsFromMs)) return;
    if (actingToken !== state.token) {
      const fields = { step: 'lease', token: state.token, listAgeMs: Math.round(targets.ageMs()) };
      log.info(fields, 'the holder begins to act');
    }
    actingToken = state.token;
    actingSinceMs = state.actsFromMs;
    const listed = targets.all();
    orderTracker.dropSettled(listed);
    detector.tick(listed);
    current.services.forEach(({ name, engine }) => {
      if (engine === undefined) return;
      const ofService = [...listed.values()].filter(({ serviceName }) => serviceName === name);
      const input: FormationInput = {
        engine,
        targets: ofService,
        isEvacuated: options.evacuations.isEvacuated,
        isLost: detector.isLost,
        isSurelyLost: detector.isSurelyLost,
        isFinishing: orderTracker.isFinishing,
        isHeadGone: headCheck.isGone,
        hasHeadLeft: (group) =>
          headCheck.hasLeft(group, listed) ||
          (isFormedUnder(group, state.token) && orderTracker.isNeverOpened(group)),
        isForming: orderTracker.isForming,
        mayOpen: (group) => isFormedUnder(group, state.token) && orderTracker.mayOpen(group),
        mayBeOpening: (group) =>
          !isFormedUnder(group, state.token) || orderTracker.mayBeOpening(group),
        hasPendingOrder: orderTracker.hasPendingOrder,
        stagingModelOf: orderTracker.stagingModelOf,
        modelByDomain: modelsByService.get(name) ?? new Map(),
        isBeforeTraffic: options.isBeforeTraffic(),
        isRegistering: registrationWatch.observe(name, ofService.length),
      };
      const seconds = options.demand?.(name, mixSeconds) ?? [];
      const conversion = mixControl.next(name, input, seconds);
      const next = planFormation({ ...input, conversion });
      modelsByService.set(name, next.modelByDomain);
      next.steps.forEach((nextStep) => executeStep(nextStep, state.token));
      summarize(name, input, seconds);
    });
    reportWork();
  };

  runStep = () => {
    if (pace.waitMs() > 0) return;
    const planningMs = work.planningMs + pace.run(planAndExecute);
    work = { ...work, stepCount: work.stepCount + 1, planningMs };
  };

  const handleSuspicion = ({ targetId, isSilent }: Suspicion) => {
    work = { ...work, suspicionCount: work.suspicionCount + 1 };
    const target = targets.all().get(targetId);
    if (target === undefined) return;
    log.info({ step: 'suspect', targetId, isSilent }, 'probing a suspected target');
    detector.suspect([target], isSilent);
  };

  calls.handle(suspectMethod, async (params) => {
    const checked = suspicionSchema.safeParse(params);
    if (!checked.success) throw new Error('params: expected targetId and isSilent');
    if (lease.state().kind === 'holder') handleSuspicion(checked.data);
    return { taken: lease.state().kind === 'holder' };
  });

  const forwardSuspicion = (holderAddress: string, suspicion: Suspicion) => {
    void calls.call(holderAddress, suspectMethod, suspicion, suspectTimeoutMs).then((result) => {
      if (result.ok) return;
      const { kind, step: failedStep, peer, message } = result.error;
      log.info({ step: failedStep, peer, kind }, message);
    });
  };

  const suspect = (suspicion: Suspicion) => {
    const nowMs = clock.monotonicMs();
    const { targetId } = suspicion;
    if (nowMs - (reportedAtMs.get(targetId) ?? -Infinity) < minSuspicionIntervalMs) return;
    reportedAtMs.set(targetId, nowMs);
    const state = lease.state();
    if (state.kind === 'holder') handleSuspicion(suspicion);
    else if (state.holderAddress !== undefined) forwardSuspicion(state.holderAddress, suspicion);
  };

  const sharedCheck = createSharedMemberCheck({
    clock,
    targets,
    calls,
    ownAddress: options.address,
    observerAddresses: lease.observerAddresses,
    ownCheck: createMemberCheck({ clock, targets, orders }),
    onUnresponsive: (members) =>
      members.forEach(({ targetId }) => suspect({ targetId, isSilent: true })),
    checks: options.metrics.counter(
      'comfreydrum_member_checks_total',
      'Checks of the members of silent groups, by who made them: this daemon or an observer.',
      ['by'],
    ),
  });

  return {
    suspect,
    findUnresponsive: sharedCheck.findUnresponsive,
    hasRecentOrders: () => clock.monotonicMs() - lastOrderAtMs < orderVisibilityMs,
    component: {
      name: 'formation',
      start: () => {
        targets.onChange(scheduleStep);
        timer = setInterval(() => {
          processLoad.tick();
          runStep();
        }, tickIntervalMs);
      },
      stop: () => clearInterval(timer),
    },
  };
};
