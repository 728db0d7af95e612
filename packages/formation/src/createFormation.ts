import type * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import * as fleet from '@comfreydrum/fleet';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as peers from '@comfreydrum/peers';
import type * as telemetry from '@comfreydrum/telemetry';
import * as zod from 'zod';
import type { Lease } from './createLease';
import { answerOf } from './answerOf';
import { createHeadCheck } from './createHeadCheck';
import { createLossDetector } from './createLossDetector';
import { createMemberCheck } from './createMemberCheck';
import { createOrderBook } from './createOrderBook';
import type { FormationStep } from './FormationStep';
import { planFormation, type FormationView } from './planFormation';
import { summarizeFleet } from './summarizeFleet';
import type { OrderOutcome, TargetOrders } from './TargetOrders';

/** A target that a request showed to be failing. */
export interface Suspicion {
  readonly targetId: string;
  /** Whether it was asked and did not answer. */
  readonly isSilent: boolean;
}

/** Forms and mends groups while this daemon holds the lease. */
export interface Formation {
  /** Takes a suspicion of this daemon, and passes it on when another one is the controller. */
  readonly suspect: (suspicion: Suspicion) => void;
  /** Asks the members of a silent group; true when one does not answer, which the controller is told. */
  readonly confirmLoss: (groupKey: string) => Promise<boolean>;
  /** Whether orders were given so lately that the list is to show their effect. */
  readonly awaitsChanges: () => boolean;
  readonly part: lifecycle.Part;
}

/** What formation needs. */
export interface FormationOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly metrics: telemetry.Metrics;
  readonly plan: fleet.PlanKeeper;
  readonly targets: fleet.TargetList;
  readonly orders: TargetOrders;
  readonly lease: Lease;
  readonly calls: peers.PeerCalls;
  /** Whether this daemon has seen no request of a caller. */
  readonly isBeforeTraffic: () => boolean;
}

const tickMs = 100;
const summaryIntervalMs = 1_000;
/** A list this old is not acted upon. */
const maxListAgeMs = 4_500;
const suspectMethod = 'formation.suspect';
const suspectTimeoutMs = 400;
/** One daemon tells of one target this often at most. */
const suspicionSpacingMs = 300;
/** A group closes, joins from staged weights and opens, each step shown in the list, within this time. */
const orderShownMs = 4_000;
/** Epochs of one holder of the lease; its token is the higher part. */
const epochsPerToken = 10_000;

const suspicionSchema = zod.object({ targetId: zod.string(), isSilent: zod.boolean() });

/** Tells whether a group was formed under a token. */
const isOwn = ({ epoch }: fleet.Group, token: number): boolean =>
  Math.floor(epoch / epochsPerToken) === token;

/** Creates the formation of a daemon. */
export const createFormation = (options: FormationOptions): Formation => {
  const { clock, targets, plan, orders, lease, calls } = options;
  const log = options.log.child({ part: 'formation' });
  const orderCount = options.metrics.counter(
    'comfreydrum_orders_total',
    'Orders to targets, by what became of them.',
    ['order', 'outcome'],
  );
  const book = createOrderBook(clock);
  const toldAtMs = new Map<string, number>();
  const summarizedAtMs = new Map<string, number>();
  const modelsByService = new Map<string, ReadonlyMap<string, string>>();
  let timer: NodeJS.Timeout | undefined;
  let epochCount = 0;
  let scheduled = false;
  let orderedAtMs = -Infinity;

  /** Takes the next step; set once everything that it uses is there. */
  let step = () => {};

  const schedule = () => {
    if (scheduled) return;
    scheduled = true;
    setImmediate(() => {
      scheduled = false;
      step();
    });
  };

  const detector = createLossDetector({ clock, log, orders, onChange: schedule });
  const memberCheck = createMemberCheck({ clock, targets, orders });
  const headCheck = createHeadCheck({
    clock,
    log,
    orders,
    calls,
    peerAddresses: lease.peerAddresses,
    onReached: detector.noteAnswer,
    onChange: schedule,
  });

  const noteOutcome = (
    target: fleet.Target,
    order: string,
    outcome: OrderOutcome,
    facts: Readonly<Record<string, unknown>>,
  ) => {
    orderCount.add({ order, outcome });
    log.info(
      { step: order, targetId: target.id, peer: target.address, outcome, ...facts },
      'order',
    );
    if (outcome === 'outdated') lease.resign(`target ${target.id} has seen a higher token`);
    if (outcome !== 'accepted') book.fail(target);
    if (outcome === 'unanswered' || outcome === 'wrong-target') detector.suspect([target], false);
  };

  const give = (
    target: fleet.Target,
    order: string,
    facts: Readonly<Record<string, unknown>>,
    send: () => Promise<OrderOutcome>,
  ) => {
    void send()
      .then((outcome) => noteOutcome(target, order, outcome, facts))
      .catch((cause: unknown) =>
        log.error({ step: order, targetId: target.id }, errors.describeCause(cause)),
      );
  };

  /** Logs what the targets of a service do, once in a while. */
  const summarize = (serviceName: string, view: FormationView) => {
    const nowMs = clock.monotonicMs();
    if (nowMs - (summarizedAtMs.get(serviceName) ?? -Infinity) < summaryIntervalMs) return;
    summarizedAtMs.set(serviceName, nowMs);
    log.info({ step: 'fleet', service: serviceName, ...summarizeFleet(view) }, 'fleet summary');
  };

  const takeStep = (next: FormationStep, token: number) => {
    // Staging takes many seconds, and nothing waits for its end.
    if (next.kind !== 'stage') orderedAtMs = clock.monotonicMs();
    switch (next.kind) {
      case 'form': {
        epochCount += 1;
        const epoch = token * epochsPerToken + epochCount;
        const { modelName, members, reason } = next;
        const groupName = fleet.formGroupName(modelName, epoch);
        const memberIds = members.map(({ id }) => id);
        const order = { token, groupName, epoch, modelName, memberIds };
        log.info({ step: 'form', groupName, epoch, memberIds, reason }, 'forming a group');
        book.noteForm({ key: fleet.groupKeyOf({ groupName, epoch }) }, members);
        members.forEach((target) => {
          book.note(target);
          give(target, 'join', { groupName, epoch }, async () => {
            const outcome = await orders.join(target, order);
            book.noteJoinAnswer(target, epoch, outcome !== 'unanswered');
            return outcome;
          });
        });
        return;
      }
      case 'open': {
        const { group, head } = next;
        const ref = { token, groupName: group.name, epoch: group.epoch };
        book.note(head);
        book.noteOpen(group);
        give(head, 'open', ref, async () => {
          const outcome = await orders.open(head, ref);
          book.noteOpenAnswer(group, answerOf(outcome));
          return outcome;
        });
        return;
      }
      case 'close': {
        const { group, head, mode, reason } = next;
        const ref = { token, groupName: group.name, epoch: group.epoch };
        book.note(head);
        book.noteClose(group);
        give(head, 'close', { ...ref, mode, reason }, async () => {
          const outcome = await orders.close(head, ref, mode);
          book.noteCloseAnswer(group, answerOf(outcome));
          return outcome;
        });
        return;
      }
      case 'leave': {
        const { group, member, reason } = next;
        const ref = { token, groupName: group.name, epoch: group.epoch };
        book.note(member);
        give(member, 'leave', { ...ref, reason }, () => orders.leave(member, ref));
        return;
      }
      case 'stage': {
        const { target, modelName, reason } = next;
        book.noteStaging(target, modelName);
        give(target, 'stage', { modelName, reason }, () =>
          orders.stage(target, { token, modelName }),
        );
        return;
      }
      default:
        errors.unreachable(next);
    }
  };

  step = () => {
    headCheck.learn(targets.groups());
    const state = lease.state();
    const current = plan.current();
    if (state.kind !== 'holder' || current === undefined) return;
    if (!state.mayAct || targets.ageMs() > maxListAgeMs) return;
    const listed = targets.all();
    book.settle(listed);
    detector.tick(listed);
    current.services.forEach(({ name, engine }) => {
      if (engine === undefined) return;
      const view: FormationView = {
        engine,
        targets: [...listed.values()].filter(({ serviceName }) => serviceName === name),
        isLost: detector.isLost,
        isHeadGone: headCheck.isGone,
        hasHeadMovedOn: (group) => headCheck.hasMovedOn(group, listed),
        isBeingFormed: book.isBeingFormed,
        mayOpen: (group) => isOwn(group, state.token) && book.mayOpen(group),
        mayBeOpening: (group) => !isOwn(group, state.token) || book.mayBeOpening(group),
        isOrdered: book.isOrdered,
        stagingModel: book.stagingModel,
        modelByDomain: modelsByService.get(name) ?? new Map(),
        isBeforeTraffic: options.isBeforeTraffic(),
      };
      const next = planFormation(view);
      modelsByService.set(name, next.modelByDomain);
      next.steps.forEach((nextStep) => takeStep(nextStep, state.token));
      summarize(name, view);
    });
  };

  const takeSuspicion = ({ targetId, isSilent }: Suspicion) => {
    const target = targets.all().get(targetId);
    if (target === undefined) return;
    log.info({ step: 'suspect', targetId, isSilent }, 'asking a suspected target');
    detector.suspect([target], isSilent);
  };

  calls.handle(suspectMethod, async (params) => {
    const checked = suspicionSchema.safeParse(params);
    if (!checked.success) throw new Error('params: expected targetId and isSilent');
    if (lease.state().kind === 'holder') takeSuspicion(checked.data);
    return { taken: lease.state().kind === 'holder' };
  });

  const tell = (holderAddress: string, suspicion: Suspicion) => {
    void calls.call(holderAddress, suspectMethod, suspicion, suspectTimeoutMs).then((result) => {
      if (result.ok) return;
      const { kind, step: failedStep, peer, message } = result.error;
      log.info({ step: failedStep, peer, kind }, message);
    });
  };

  const suspect = (suspicion: Suspicion) => {
    const nowMs = clock.monotonicMs();
    const { targetId } = suspicion;
    if (nowMs - (toldAtMs.get(targetId) ?? -Infinity) < suspicionSpacingMs) return;
    toldAtMs.set(targetId, nowMs);
    const state = lease.state();
    if (state.kind === 'holder') takeSuspicion(suspicion);
    else if (state.holderAddress !== undefined) tell(state.holderAddress, suspicion);
  };

  return {
    suspect,
    confirmLoss: async (groupKey) => {
      const silentIds = await memberCheck.findSilent(groupKey);
      silentIds.forEach((targetId) => suspect({ targetId, isSilent: true }));
      return silentIds.length > 0;
    },
    awaitsChanges: () => clock.monotonicMs() - orderedAtMs < orderShownMs,
    part: {
      name: 'formation',
      start: () => {
        targets.onChange(schedule);
        timer = setInterval(step, tickMs);
      },
      stop: () => clearInterval(timer),
    },
  };
};
