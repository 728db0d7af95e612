import { PlacementDraft } from './PlacementDraft';
import type { PlacementGroup, PlacementModel } from './PlacementPolicy';

/** Instances of one fabric domain for a model, and the lower-value groups to preempt for them. */
export interface Allocation {
  readonly fabricDomain: string;
  readonly instanceIds: readonly string[];
  readonly preempted: readonly PlacementGroup[];
  /** The total value of the preempted groups. */
  readonly lostValue: number;
}

/** The instances that are needed, and what may be preempted for them. */
export interface AllocationRequest {
  readonly model: PlacementModel;
  readonly count: number;
  /** Exclusive upper bound on the total value of the preempted groups. */
  readonly worth: number;
  readonly models: ReadonlyMap<string, PlacementModel>;
}

interface PreemptionCandidate {
  readonly group: PlacementGroup;
  readonly value: number;
  readonly freedIds: readonly string[];
}

const preemptiblePhases = new Set<PlacementGroup['phase']>([
  'planned',
  'loading',
  'ready',
  'serving',
  'broken',
]);

/**
 * Returns the groups in a fabric domain that may be preempted, lowest value per freed instance first.
 */
const findPreemptionCandidates = (
  draft: PlacementDraft,
  fabricDomain: string,
  request: AllocationRequest,
): readonly PreemptionCandidate[] =>
  draft
    .groupsIn(fabricDomain)
    .filter(
      ({ modelKey, phase }) => modelKey !== request.model.modelKey && preemptiblePhases.has(phase),
    )
    .filter((group) => !PlacementDraft.isNewlyFormed(group))
    .map((group) => ({
      group,
      value: request.models.get(group.modelKey)?.value ?? 0,
      freedIds: draft
        .reclaimableInstances(group, request.model)
        .map(({ instanceId }) => instanceId),
    }))
    .filter(({ value, freedIds }) => value < request.worth && freedIds.length > 0)
    .sort(
      (left, right) =>
        left.value / left.freedIds.length - right.value / right.freedIds.length ||
        (left.group.groupId < right.group.groupId ? -1 : 1),
    );

const hasLowerValueModel = ({ model, models, worth: limit }: AllocationRequest): boolean =>
  [...models.values()].some(({ modelKey, value }) => modelKey !== model.modelKey && value < limit);

/** Allocates instances in one fabric domain: free ones first, then those of lower-value groups. */
export const findAllocation = (
  draft: PlacementDraft,
  fabricDomain: string,
  request: AllocationRequest,
): Allocation | undefined => {
  const instanceIds = draft
    .freeInstances(fabricDomain, request.model)
    .slice(0, request.count)
    .map(({ instanceId }) => instanceId);
  const preempted: PreemptionCandidate[] = [];
  if (instanceIds.length < request.count && !hasLowerValueModel(request)) return undefined;
  for (const candidate of findPreemptionCandidates(draft, fabricDomain, request)) {
    if (instanceIds.length >= request.count) break;
    instanceIds.push(...candidate.freedIds.slice(0, request.count - instanceIds.length));
    preempted.push(candidate);
  }
  const lostValue = preempted.reduce((sum, { value }) => sum + value, 0);
  if (instanceIds.length < request.count) return undefined;
  if (preempted.length > 0 && lostValue >= request.worth) return undefined;
  return { fabricDomain, instanceIds, preempted: preempted.map(({ group }) => group), lostValue };
};

/**
 * Chooses the allocation that loses the least value: no group is preempted if any fabric domain has
 * enough free instances.
 */
export const chooseAllocation = (
  draft: PlacementDraft,
  request: AllocationRequest,
): Allocation | undefined => {
  const free = draft
    .fabricDomains()
    .map((fabricDomain) => ({
      fabricDomain,
      freeCount: draft.freeCount(fabricDomain, request.model),
    }))
    .filter(({ freeCount }) => freeCount >= request.count)
    .sort((left, right) => left.freeCount - right.freeCount)[0];
  if (free) return findAllocation(draft, free.fabricDomain, request);
  if (!hasLowerValueModel(request)) return undefined;
  return draft
    .fabricDomains()
    .map((fabricDomain) => findAllocation(draft, fabricDomain, request))
    .filter((allocation) => allocation !== undefined)
    .sort((left, right) => left.lostValue - right.lostValue)[0];
};
