import type * as fleet from '@comfreydrum/fleet';
import { countTargetsFor } from './countTargetsFor';
import type { GroupCondition } from './evaluateGroup';
import { minSpares } from './findSecondaryModel';
import { formGroups } from './formGroups';
import type { FormationStep } from './FormationStep';
import type { DomainInput, DomainPlan, StagingCandidate } from './planDomain';
import { warmthFor } from './warmthFor';

/** A group of the domain, and its condition. */
export interface EvaluatedGroup {
  readonly group: fleet.Group;
  readonly condition: GroupCondition | undefined;
}

/** The state of a fabric domain whose main model changes to `model`. */
export interface ConversionInput extends Omit<DomainInput, 'isBeforeTraffic' | 'isRegistering'> {
  readonly fromModel: fleet.ServedModel;
  readonly groups: readonly EvaluatedGroup[];
  /** Whether a group of the previous model serves in another domain. */
  readonly isServedElsewhere: boolean;
  readonly hasPendingOrder: (target: fleet.Target) => boolean;
}

/** One load in this many stays for members that are lost meanwhile. */
const loadsPerReserved = 5;

const noLoads = () => false;

const hasKind = ({ condition }: EvaluatedGroup, ...kinds: readonly GroupCondition['kind'][]) =>
  condition !== undefined && kinds.includes(condition.kind);

/**
 * Plans a fabric domain that changes its main model. The new weights are staged on the hosts of groups that still serve; the
 * targets keep the previous weights in memory, so that a broken group's members can still join anew. When the members of a group
 * are staged, the group closes and its members join groups of the new model. The next one closes when these have their orders to
 * join. Spares keep the previous weights until then, as replacements for members that are lost meanwhile.
 */
export const planConversion = (input: ConversionInput): DomainPlan => {
  const { engine, domain, model, fromModel, free, stagingModelOf, hasPendingOrder } = input;
  const isStaging = (target: fleet.Target) => stagingModelOf(target) !== undefined;
  const isStaged = (target: fleet.Target) =>
    !isStaging(target) && warmthFor(target, model.name) !== 'cold';
  const previous = input.groups.filter(({ group }) => group.modelName === fromModel.name);
  const serving = previous.filter((one) => hasKind(one, 'serving'));
  const formed = formGroups(free.filter(isStaged), model, noLoads);
  const countUnstaged = ({ group }: EvaluatedGroup) =>
    group.members.filter((target) => !isStaged(target)).length;
  // Staged targets in no group take the places of members that are not staged yet.
  const staged = serving.filter((one) => countUnstaged(one) <= formed.left.length);
  const idle = [...formed.left, ...free.filter((target) => !isStaged(target))];
  const canRejoin = (target: fleet.Target) =>
    target.loadedModels.includes(fromModel.name) ||
    (!isStaging(target) && target.stagedModels.includes(fromModel.name));
  const stagedCount =
    formed.left.length +
    staged.reduce((sum, { group }) => sum + group.members.filter(isStaged).length, 0);
  const isFromServed = input.isServedElsewhere || serving.length > 1;
  const canTurn = isFromServed && stagedCount >= model.groupSize;
  const isTurning =
    (canTurn && staged.length > 0) || previous.some((one) => hasKind(one, 'closing', 'must-leave'));
  const rejoined = isTurning
    ? { steps: [], left: idle }
    : formGroups(idle.filter(canRejoin), fromModel, noLoads);

  const isClosing =
    formed.steps.length > 0 ||
    previous.some(
      (one) =>
        hasKind(one, 'closing', 'must-leave') ||
        (one.group.head !== undefined && hasPendingOrder(one.group.head)),
    );
  const canClose = !isClosing && canTurn;
  const closing = canClose ? staged.find(({ group }) => group.head !== undefined) : undefined;
  const closeSteps: readonly FormationStep[] =
    closing === undefined
      ? []
      : [
          {
            kind: 'close',
            group: closing.group,
            head: closing.group.head!,
            mode: 'finish-work',
            reason: `the domain changes to model ${model.name}`,
          },
        ];

  const rejoining = new Set(
    rejoined.steps.flatMap((step) => (step.kind === 'form' ? step.members : [])),
  );
  const needsStaging = (target: fleet.Target) =>
    !isStaging(target) && !isStaged(target) && !hasPendingOrder(target);
  const left = idle.filter((target) => !rejoining.has(target));
  const spares = left.filter(canRejoin).slice(0, minSpares);
  const members = [...previous]
    .sort(
      (one, other) =>
        countUnstaged(one) - countUnstaged(other) || one.group.key.localeCompare(other.group.key),
    )
    .flatMap(({ group }) => group.members)
    .filter((target) => !free.includes(target));
  const keepsSpares = members.some((target) => !isStaged(target));
  const wanted = [
    ...left.filter((target) => !canRejoin(target)),
    ...members,
    ...left.filter((target) => canRejoin(target) && !spares.includes(target)),
    ...(keepsSpares ? [] : spares),
  ].filter((target) => target.state === 'live' && needsStaging(target));
  const loadCount = domain.targets.filter((target) => stagingModelOf(target) === model.name).length;
  const maxLoads = engine.concurrentLoads - Math.ceil(engine.concurrentLoads / loadsPerReserved);
  const readyCount = domain.targets.filter(isStaged).length;
  const groupedCount = countTargetsFor(domain.targets.length, model, model, engine.models);
  const count = Math.min(maxLoads - loadCount, groupedCount - readyCount - loadCount);
  // Groups that lack members come first, spares of other domains last.
  const rank = Math.max(...engine.models.map(({ groupSize }) => groupSize)) + 1;
  const stagingCandidates = wanted
    .slice(0, Math.max(0, count))
    .map((target, index): StagingCandidate => ({
      target,
      modelName: model.name,
      missingCount: wanted.length,
      rank: rank + index / (wanted.length + 1),
    }));
  return { steps: [...formed.steps, ...rejoined.steps, ...closeSteps], stagingCandidates };
};
