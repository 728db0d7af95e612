import * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import { answerOf } from '../answerOf';
import { createOrderBook } from '../createOrderBook';
import type { FormationStep } from '../FormationStep';
import { planFormation } from '../planFormation';
import type { FakeFabric } from './createFakeFabric';

/** A controller of a test, in the time of a fake fabric. */
export interface PlayedController {
  /** Moves the time on and takes the steps that are due. */
  readonly play: (durationMs: number) => void;
  /** Loses what the controller knew, as when another daemon takes over. */
  readonly takeOver: () => void;
  /** Whether callers have come, so that loads are slow. */
  readonly setTraffic: (hasTraffic: boolean) => void;
}

const stepMs = 50;
/** How long probes take to find that a target is dead. */
const usualDetectionMs = 400;

/** Plays the planner against a fabric. */
export const playFormation = (
  fabric: FakeFabric,
  engine: fleet.EngineProfile,
  detectionMs = usualDetectionMs,
): PlayedController => {
  const clock = clocks.createManualClock();
  const deadSinceMs = new Map<string, number>();
  const headIds = new Map<string, string>();
  let book = createOrderBook(clock);
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

  const take = (step: FormationStep) => {
    switch (step.kind) {
      case 'form': {
        epochCount += 1;
        const epoch = token * 1_000 + epochCount;
        const groupName = fleet.formGroupName(step.modelName, epoch);
        const memberIds = step.members.map(({ id }) => id);
        book.noteForm({ key: fleet.groupKeyOf({ groupName, epoch }) }, step.members);
        step.members.forEach((member) => {
          book.note(member);
          const order = { groupName, epoch, modelName: step.modelName, memberIds };
          const outcome = fabric.join(member.id, order);
          book.noteJoinAnswer(member, epoch, outcome !== 'unanswered');
          if (outcome !== 'accepted') book.fail(member);
        });
        return;
      }
      case 'open':
        book.note(step.head);
        book.noteOpen(step.group);
        {
          const outcome = fabric.open(step.head.id, step.group.name);
          book.noteOpenAnswer(step.group, answerOf(outcome));
          if (outcome !== 'accepted') book.fail(step.head);
        }
        return;
      case 'close':
        book.note(step.head);
        book.noteClose(step.group);
        book.noteCloseAnswer(
          step.group,
          answerOf(fabric.close(step.head.id, step.group.name, step.mode)),
        );
        return;
      case 'leave':
        book.note(step.member);
        fabric.leave(step.member.id, step.group.name);
        return;
      default:
        book.noteStaging(step.target, step.modelName);
        if (fabric.stage(step.target.id, step.modelName) !== 'accepted') book.fail(step.target);
    }
  };

  const step = () => {
    const targets = fabric.listed();
    const listed = new Map(targets.map((target) => [target.id, target]));
    book.settle(listed);
    fleet.groupsOf(targets).forEach(({ key, head }) => {
      if (head !== undefined) headIds.set(key, head.id);
    });
    const plan = planFormation({
      engine,
      targets,
      isLost,
      isHeadGone: ({ key }) => {
        const headId = headIds.get(key);
        return headId === undefined || isLost({ id: headId });
      },
      hasHeadMovedOn: ({ key, members }) => {
        const headId = headIds.get(key);
        const head = headId === undefined ? undefined : listed.get(headId);
        return (
          head !== undefined && head.membership?.groupName !== members[0]!.membership.groupName
        );
      },
      isBeingFormed: book.isBeingFormed,
      mayOpen: book.mayOpen,
      mayBeOpening: book.mayBeOpening,
      isOrdered: book.isOrdered,
      stagingModel: book.stagingModel,
      modelByDomain,
      isBeforeTraffic: !hasTraffic,
    });
    modelByDomain = plan.modelByDomain;
    plan.steps.forEach(take);
  };

  return {
    play: (durationMs) => {
      for (let leftMs = durationMs; leftMs > 0; leftMs -= stepMs) {
        fabric.advance(stepMs);
        clock.advance(stepMs);
        step();
      }
    },
    takeOver: () => {
      book = createOrderBook(clock);
      modelByDomain = new Map();
      token += 1;
    },
    setTraffic: (next) => {
      hasTraffic = next;
    },
  };
};
