import * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import { toOrderResponse } from '../toOrderResponse';
import { createOrderTracker } from '../createOrderTracker';
import { createRegistrationWatch } from '../createRegistrationWatch';
import type { FormationStep } from '../FormationStep';
import { planFormation } from '../planFormation';
import type { FakeFabric } from './createFakeFabric';

/** A controller that runs in the simulated time of a fake fabric. */
export interface SimulatedController {
  /** Advances the time, and plans and executes steps at each tick. */
  readonly advance: (durationMs: number) => void;
  /** Discards the controller's state and raises the token, as when another daemon takes over. */
  readonly takeOver: () => void;
  /** Sets whether callers send requests. Until they do, targets may load weights to join groups. */
  readonly setTraffic: (hasTraffic: boolean) => void;
}

const tickIntervalMs = 50;
/** Time until probes detect that a target is dead. */
const defaultDetectionMs = 400;

/** Creates a controller that executes the planner's steps on a fake fabric. */
export const simulateController = (
  fabric: FakeFabric,
  engine: fleet.EngineProfile,
  detectionMs = defaultDetectionMs,
): SimulatedController => {
  const clock = clocks.createManualClock();
  const deadSinceMs = new Map<string, number>();
  const headIds = new Map<string, string>();
  const registrationWatch = createRegistrationWatch(clock);
  let orderTracker = createOrderTracker(clock);
  let token = 1;
  let epochCount = 0;
  let hasTraffic = false;
  let modelByDomain: ReadonlyMap<string, string> = new Map();

  const isLost = ({ id }: Pick<fleet.Target, 'id'>): boolean => {
    if (fabric.isReachable(id)) return false;
    const sinceMs = deadSinceMs.get(id) ?? fabric.nowMs();
    deadSinceMs.set(id, sinceMs);
    return fabric.nowMs() - sinceMs >= detectionMs;
  };

  const executeStep = (step: FormationStep) => {
    switch (step.kind) {
      case 'form': {
        epochCount += 1;
        const epoch = token * 1_000 + epochCount;
        const groupName = fleet.formatGroupName(step.modelName, epoch);
        const memberIds = step.members.map(({ id }) => id);
        orderTracker.recordForm({ key: fleet.groupKeyOf({ groupName, epoch }) }, step.members);
        step.members.forEach((member) => {
          orderTracker.recordOrder(member);
          const order = { groupName, epoch, modelName: step.modelName, memberIds };
          const outcome = fabric.join(member.id, order);
          orderTracker.recordJoinResponse(member, epoch, outcome !== 'unanswered');
          if (outcome !== 'accepted') orderTracker.recordFailure(member);
        });
        return;
      }
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
        if (fabric.stage(step.target.id, step.modelName) !== 'accepted')
          orderTracker.recordFailure(step.target);
    }
  };

  const step = () => {
    const targets = fabric.listed();
    const listed = new Map(targets.map((target) => [target.id, target]));
    orderTracker.dropSettled(listed);
    fleet.groupsOf(targets).forEach(({ key, head }) => {
      if (head !== undefined) headIds.set(key, head.id);
    });
    const plan = planFormation({
      engine,
      targets,
      isLost,
      isSurelyLost: isLost,
      isFinishing: orderTracker.isFinishing,
      isHeadGone: ({ key }) => {
        const headId = headIds.get(key);
        return headId === undefined || isLost({ id: headId });
      },
      hasHeadLeft: ({ key, members }) => {
        const headId = headIds.get(key);
        const head = headId === undefined ? undefined : listed.get(headId);
        return (
          head !== undefined && head.membership?.groupName !== members[0]!.membership.groupName
        );
      },
      isForming: orderTracker.isForming,
      mayOpen: orderTracker.mayOpen,
      mayBeOpening: orderTracker.mayBeOpening,
      hasPendingOrder: orderTracker.hasPendingOrder,
      stagingModelOf: orderTracker.stagingModelOf,
      modelByDomain,
      isBeforeTraffic: !hasTraffic,
      isRegistering: registrationWatch.observe('models', targets.length),
    });
    modelByDomain = plan.modelByDomain;
    plan.steps.forEach(executeStep);
  };

  return {
    advance: (durationMs) => {
      for (let leftMs = durationMs; leftMs > 0; leftMs -= tickIntervalMs) {
        fabric.advance(tickIntervalMs);
        clock.advance(tickIntervalMs);
        step();
      }
    },
    takeOver: () => {
      orderTracker = createOrderTracker(clock);
      modelByDomain = new Map();
      token += 1;
    },
    setTraffic: (next) => {
      hasTraffic = next;
    },
  };
};
