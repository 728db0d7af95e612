import * as fleet from '@comfreydrum/fleet';
import { assignModels, type FabricDomain } from './assignModels';
import type { FormationStep } from './FormationStep';
import { evaluateGroup, type GroupContext, type GroupCondition } from './evaluateGroup';

/** The state of a service that its next steps are planned from. */
export interface FormationInput extends Omit<GroupContext, 'groupSize'> {
  readonly engine: fleet.EngineProfile;
  /** Listed targets of the service. */
  readonly targets: readonly fleet.Target[];
  /** Reports whether the target has an order whose effect is not listed yet. */
  readonly hasPendingOrder: (target: fleet.Target) => boolean;
  /** Returns the model whose weights the target is loading onto its host. */
  readonly stagingModelOf: (target: fleet.Target) => string | undefined;
  /** Model of each fabric domain in the previous plan. */
  readonly modelByDomain: ReadonlyMap<string, string>;
  /** Whether no caller has sent a request yet; until then loading weights is cheap. */
  readonly isBeforeTraffic: boolean;
}

/** The next steps for a service, and the model assigned to each fabric domain. */
export interface FormationPlan {
  readonly steps: readonly FormationStep[];
  readonly modelByDomain: ReadonlyMap<string, string>;
}

/** Where a target holds the weights of a model; the closer they are, the sooner it can join a group. */
type Warmth = 'in-memory' | 'on-host' | 'cold';

const warmthRank: Readonly<Record<Warmth, number>> = { 'in-memory': 0, 'on-host': 1, cold: 2 };

/** A free target that could load the weights of a model onto its host. */
interface StagingCandidate {
  readonly target: fleet.Target;
  readonly modelName: string;
  /** Targets that still need the weights to complete a group; more than the group size for a spare. */
  readonly missingCount: number;
}

/** Before traffic, joins may exceed the number of loads that run at full speed by this many. */
const extraLoadsBeforeTraffic = 3;

const warmthFor = (target: fleet.Target, modelName: string): Warmth => {
  if (target.loadedModels.includes(modelName)) return 'in-memory';
  return target.stagedModels.includes(modelName) ? 'on-host' : 'cold';
};

const compareByWarmth = (modelName: string) => (one: fleet.Target, other: fleet.Target) =>
  warmthRank[warmthFor(one, modelName)] - warmthRank[warmthFor(other, modelName)] ||
  one.id.localeCompare(other.id);

const collectDomains = (targets: readonly fleet.Target[]): readonly FabricDomain[] => {
  const byName = new Map<string, fleet.Target[]>();
  targets.forEach((target) => {
    const { fabricDomain } = target;
    if (fabricDomain === undefined) return;
    byName.set(fabricDomain, [...(byName.get(fabricDomain) ?? []), target]);
  });
  return [...byName]
    .map(([name, members]) => ({
      name,
      failureDomain: members[0]!.failureDomain,
      targets: members,
    }))
    .sort((one, other) => one.name.localeCompare(other.name));
};

/** Returns undefined for a group of an unknown model, which formation does not manage. */
const evaluate = (group: fleet.Group, input: FormationInput): GroupCondition | undefined => {
  const model = input.engine.models.find(({ name }) => name === group.modelName);
  return model && evaluateGroup(group, { ...input, groupSize: model.groupSize });
};

/** Plans the steps for existing groups. */
const stepsForGroups = (
  evaluated: readonly {
    readonly group: fleet.Group;
    readonly condition: GroupCondition | undefined;
  }[],
  input: FormationInput,
): readonly FormationStep[] =>
  evaluated.flatMap(({ group, condition }): readonly FormationStep[] => {
    const { head } = group;
    if (condition?.kind === 'abandoned') {
      return group.members
        .filter((member) => !input.isLost(member) && !input.hasPendingOrder(member))
        .map((member) => ({
          kind: 'leave',
          group,
          member,
          reason: 'no daemon can reach the head',
        }));
    }
    if (head === undefined || condition === undefined || input.hasPendingOrder(head)) return [];
    if (condition.kind === 'must-leave') {
      return [
        { kind: 'leave', group, member: head, reason: 'the group must not be opened any more' },
      ];
    }
    if (condition.kind === 'openable') return [{ kind: 'open', group, head }];
    if (condition.kind === 'must-shed') {
      return [{ kind: 'close', group, head, mode: 'shed-work', reason: 'a member is lost' }];
    }
    if (condition.kind !== 'must-close') return [];
    const mode = condition.shedsWork ? 'shed-work' : 'finish-work';
    const reason = condition.isMemberGone ? 'a member is lost' : 'a member is leaving';
    return [{ kind: 'close', group, head, mode, reason }];
  });

/** Forms as many groups as possible from free targets, starting with those that can join soonest. */
const formGroups = (
  free: readonly fleet.Target[],
  model: fleet.ServedModel,
  tryReserveLoads: (count: number) => boolean,
): { readonly steps: readonly FormationStep[]; readonly left: readonly fleet.Target[] } => {
  const steps: FormationStep[] = [];
  let left = [...free].sort(compareByWarmth(model.name));
  while (left.length >= model.groupSize) {
    const members = left.slice(0, model.groupSize);
    const coldCount = members.filter((target) => warmthFor(target, model.name) === 'cold').length;
    if (coldCount > 0 && !tryReserveLoads(coldCount)) break;
    left = left.slice(model.groupSize);
    const reason = `${model.groupSize - coldCount} of ${model.groupSize} hold the weights`;
    steps.push({ kind: 'form', modelName: model.name, members, reason });
  }
  return { steps, left };
};

/**
 * Plans the next steps: opens groups that are ready, closes groups that lost a member, forms groups from
 * free targets that hold the weights, and stages weights where the fewest loads complete a group.
 *
 * Targets may be lost and added faster than the weight store can load them. Groups are therefore formed from
 * targets that hold the weights already, and concurrent loads are limited.
 */
export const planFormation = (input: FormationInput): FormationPlan => {
  const { engine, targets } = input;
  const evaluated = fleet
    .groupsOf(targets)
    .map((group) => ({ group, condition: evaluate(group, input) }));
  const reservedKeys = new Set(
    evaluated
      .filter(({ condition }) => condition?.kind !== 'dissolved')
      .flatMap(({ group }) => group.members.map(fleet.runKeyOf)),
  );
  const usable = targets.filter((target) => target.state === 'live' && !input.isLost(target));
  const free = usable.filter(
    (target) => !reservedKeys.has(fleet.runKeyOf(target)) && !input.hasPendingOrder(target),
  );
  const domains = collectDomains(usable);
  const modelByDomain = assignModels(domains, engine.models, input.modelByDomain);

  const isLoading = (target: fleet.Target): boolean => {
    if (input.stagingModelOf(target) !== undefined) return true;
    if (target.membership?.state !== 'joining' && !input.hasPendingOrder(target)) return false;
    return target.stagedModels.length === 0 && target.loadedModels.length === 0;
  };
  let loadingCount = usable.filter(isLoading).length;

  const tryReserveLoads = (count: number): boolean => {
    if (!input.isBeforeTraffic) return false;
    if (loadingCount + count > engine.concurrentLoads + extraLoadsBeforeTraffic) return false;
    loadingCount += count;
    return true;
  };

  const steps: FormationStep[] = [...stepsForGroups(evaluated, input)];
  const stagingCandidates: StagingCandidate[] = [];
  domains.forEach((domain) => {
    const model = engine.models.find(({ name }) => name === modelByDomain.get(domain.name));
    if (model === undefined) return;
    const freeInDomain = free.filter(({ fabricDomain }) => fabricDomain === domain.name);
    const notStaging = freeInDomain.filter((target) => input.stagingModelOf(target) === undefined);
    const formed = formGroups(notStaging, model, tryReserveLoads);
    steps.push(...formed.steps);
    const cold = formed.left.filter((target) => warmthFor(target, model.name) === 'cold');
    const warmCount = formed.left.length - cold.length;
    const missingCount = model.groupSize - warmCount - (freeInDomain.length - notStaging.length);
    cold.forEach((target, index) =>
      stagingCandidates.push({
        target,
        modelName: model.name,
        missingCount: index < missingCount ? missingCount : model.groupSize + 1,
      }),
    );
  });

  stagingCandidates
    .sort(
      (one, other) =>
        one.missingCount - other.missingCount || one.target.id.localeCompare(other.target.id),
    )
    .slice(0, Math.max(0, engine.concurrentLoads - loadingCount))
    .forEach(({ target, modelName, missingCount }) =>
      steps.push({
        kind: 'stage',
        modelName,
        target,
        reason: `${missingCount} more targets with the weights complete a group`,
      }),
    );
  return { steps, modelByDomain };
};
