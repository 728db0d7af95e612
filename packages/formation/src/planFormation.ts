import * as fleet from '@comfreydrum/fleet';
import { assignModels, type FabricDomain } from './assignModels';
import type { FormationStep } from './FormationStep';
import { judgeGroup, type GroupKnowledge, type GroupVerdict } from './judgeGroup';

/** What the next steps are decided from. */
export interface FormationView extends Omit<GroupKnowledge, 'groupSize'> {
  readonly engine: fleet.EngineProfile;
  /** The listed targets of the service. */
  readonly targets: readonly fleet.Target[];
  /** Whether an order to the target is under way whose effect is not listed yet. */
  readonly isOrdered: (target: fleet.Target) => boolean;
  /** Gives the model whose weights a target is loading onto its host. */
  readonly stagingModel: (target: fleet.Target) => string | undefined;
  /** The models assigned to fabric domains by the last plan. */
  readonly modelByDomain: ReadonlyMap<string, string>;
  /** Whether callers have not come yet, so that loads cost little. */
  readonly isBeforeTraffic: boolean;
}

/** The next steps, and what they rest on. */
export interface FormationPlan {
  readonly steps: readonly FormationStep[];
  readonly modelByDomain: ReadonlyMap<string, string>;
}

/** How long a target needs to join, as far as it orders targets. */
type Warmth = 'in-memory' | 'on-host' | 'cold';

const warmthRank: Readonly<Record<Warmth, number>> = { 'in-memory': 0, 'on-host': 1, cold: 2 };

/** A free target whose host could take a model's weights. */
interface StagingWish {
  readonly target: fleet.Target;
  readonly modelName: string;
  /** How many more targets with the weights complete a group; more than a group for a mere spare. */
  readonly missingCount: number;
}

/** Before traffic, joins that load may overlap a little more than run at full speed. */
const leadLoadSurplus = 3;

const warmthFor = (target: fleet.Target, modelName: string): Warmth => {
  if (target.loadedModels.includes(modelName)) return 'in-memory';
  return target.stagedModels.includes(modelName) ? 'on-host' : 'cold';
};

const byWarmth = (modelName: string) => (one: fleet.Target, other: fleet.Target) =>
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

/** Groups of no known model are none of ours; they are left to end by themselves. */
const judge = (group: fleet.Group, view: FormationView): GroupVerdict | undefined => {
  const model = view.engine.models.find(({ name }) => name === group.modelName);
  return model && judgeGroup(group, { ...view, groupSize: model.groupSize });
};

/** The steps that existing groups need. */
const stepsForGroups = (
  judged: readonly { readonly group: fleet.Group; readonly verdict: GroupVerdict | undefined }[],
  view: FormationView,
): readonly FormationStep[] =>
  judged.flatMap(({ group, verdict }): readonly FormationStep[] => {
    const { head } = group;
    if (verdict?.kind === 'abandoned') {
      return group.members
        .filter((member) => !view.isLost(member) && !view.isOrdered(member))
        .map((member) => ({ kind: 'leave', group, member, reason: 'no daemon reaches the head' }));
    }
    if (head === undefined || verdict === undefined || view.isOrdered(head)) return [];
    if (verdict.kind === 'must-leave') {
      return [{ kind: 'leave', group, member: head, reason: 'the group is not to open any more' }];
    }
    if (verdict.kind === 'openable') return [{ kind: 'open', group, head }];
    if (verdict.kind !== 'must-close') return [];
    const mode = verdict.isMemberGone ? 'shed-work' : 'finish-work';
    const reason = verdict.isMemberGone ? 'a member is gone' : 'a member is leaving';
    return [{ kind: 'close', group, head, mode, reason }];
  });

/** Forms as many groups of a domain's model as its free targets make, the warmest first. */
const formGroups = (
  free: readonly fleet.Target[],
  model: fleet.ServedModel,
  mayLoad: (count: number) => boolean,
): { readonly steps: readonly FormationStep[]; readonly left: readonly fleet.Target[] } => {
  const steps: FormationStep[] = [];
  let left = [...free].sort(byWarmth(model.name));
  while (left.length >= model.groupSize) {
    const members = left.slice(0, model.groupSize);
    const coldCount = members.filter((target) => warmthFor(target, model.name) === 'cold').length;
    if (coldCount > 0 && !mayLoad(coldCount)) break;
    left = left.slice(model.groupSize);
    const reason = `${model.groupSize - coldCount} of ${model.groupSize} hold the weights`;
    steps.push({ kind: 'form', modelName: model.name, members, reason });
  }
  return { steps, left };
};

/**
 * Plans the next steps: opens groups that are ready, closes groups that lost a member, forms groups from
 * free targets that hold the weights, and stages weights where a group is completed soonest.
 *
 * Answers the load of fleets that lose and gain targets faster than the weight store loads them.
 */
export const planFormation = (view: FormationView): FormationPlan => {
  const { engine, targets } = view;
  const judged = fleet.groupsOf(targets).map((group) => ({ group, verdict: judge(group, view) }));
  const bound = new Set(
    judged
      .filter(({ verdict }) => verdict?.kind !== 'dissolved')
      .flatMap(({ group }) => group.members.map(fleet.runKeyOf)),
  );
  const usable = targets.filter((target) => target.state === 'live' && !view.isLost(target));
  const free = usable.filter(
    (target) => !bound.has(fleet.runKeyOf(target)) && !view.isOrdered(target),
  );
  const domains = collectDomains(usable);
  const modelByDomain = assignModels(domains, engine.models, view.modelByDomain);

  const isLoading = (target: fleet.Target): boolean => {
    if (view.stagingModel(target) !== undefined) return true;
    if (target.membership?.state !== 'joining' && !view.isOrdered(target)) return false;
    return target.stagedModels.length === 0 && target.loadedModels.length === 0;
  };
  let loadingCount = usable.filter(isLoading).length;

  const mayLoadToJoin = (count: number): boolean => {
    if (!view.isBeforeTraffic) return false;
    if (loadingCount + count > engine.concurrentLoads + leadLoadSurplus) return false;
    loadingCount += count;
    return true;
  };

  const steps: FormationStep[] = [...stepsForGroups(judged, view)];
  const wanting: StagingWish[] = [];
  domains.forEach((domain) => {
    const model = engine.models.find(({ name }) => name === modelByDomain.get(domain.name));
    if (model === undefined) return;
    const freeHere = free.filter(({ fabricDomain }) => fabricDomain === domain.name);
    const settled = freeHere.filter((target) => view.stagingModel(target) === undefined);
    const formed = formGroups(settled, model, mayLoadToJoin);
    steps.push(...formed.steps);
    const cold = formed.left.filter((target) => warmthFor(target, model.name) === 'cold');
    const warmCount = formed.left.length - cold.length;
    const missingCount = model.groupSize - warmCount - (freeHere.length - settled.length);
    cold.forEach((target, index) =>
      wanting.push({
        target,
        modelName: model.name,
        missingCount: index < missingCount ? missingCount : model.groupSize + 1,
      }),
    );
  });

  wanting
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
        reason: `${missingCount} more make a group`,
      }),
    );
  return { steps, modelByDomain };
};
