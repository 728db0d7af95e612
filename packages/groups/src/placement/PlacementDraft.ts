import type {
  PlacementAction,
  PlacementGroup,
  PlacementInstance,
  PlacementModel,
  PlacementState,
} from './PlacementPolicy';

/** Absences in a day from which an instance counts as flapping, so that steadier ones are preferred. */
const flappingAbsences = 3;
/** Prefix of the placeholder ids of groups that this draft forms; they get their ids later. */
const formedPrefix = 'formed:';

/** A working copy of the placement state that applies and records actions as they are decided. */
export class PlacementDraft {
  readonly #state: PlacementState;

  readonly #instances = new Map<string, PlacementInstance>();

  readonly #free = new Map<string, Map<string, PlacementInstance>>();

  readonly #groups = new Map<string, PlacementGroup>();

  /** Group ids by fabric domain. */
  readonly #groupIds = new Map<string, Set<string>>();

  readonly #actions: PlacementAction[] = [];

  #formedCount = 0;

  constructor(state: PlacementState) {
    this.#state = state;
    const assigned = new Set<string>();
    state.groups.forEach((group) => {
      this.#setGroup(group);
      group.memberIds.forEach((instanceId) => assigned.add(instanceId));
    });
    state.instances.forEach((instance) => {
      this.#instances.set(instance.instanceId, instance);
      if (!assigned.has(instance.instanceId)) this.#addFree(instance);
    });
  }

  get actions(): readonly PlacementAction[] {
    return this.#actions;
  }

  groups(): readonly PlacementGroup[] {
    return [...this.#groups.values()];
  }

  /** Reports whether the group was formed by this draft, and not read from the state. */
  static isNewlyFormed({ groupId }: PlacementGroup): boolean {
    return groupId.startsWith(formedPrefix);
  }

  fabricDomains(): readonly string[] {
    return [...new Set([...this.#free.keys(), ...this.#groupIds.keys()])];
  }

  /** Returns the groups in one fabric domain. */
  groupsIn(fabricDomain: string): readonly PlacementGroup[] {
    return [...(this.#groupIds.get(fabricDomain) ?? [])].map((id) => this.#groups.get(id)!);
  }

  isPresent(instanceId: string): boolean {
    return this.#instances.get(instanceId)?.state === 'present';
  }

  isFlapping(instanceId: string): boolean {
    return (this.#instances.get(instanceId)?.recentAbsences ?? 0) >= flappingAbsences;
  }

  /** Returns how long an instance has been absent; infinite if it is not listed or is leaving. */
  absentMs(instanceId: string): number {
    const sinceMs = this.#instances.get(instanceId)?.absentSinceMs;
    return sinceMs === undefined ? Infinity : this.#state.nowMs - sinceMs;
  }

  /** Counts the free instances in a fabric domain that may run the model. */
  freeCount(fabricDomain: string, model: PlacementModel): number {
    let count = 0;
    this.#free.get(fabricDomain)?.forEach((instance) => {
      if (PlacementDraft.#isEligible(instance, model)) count += 1;
    });
    return count;
  }

  /** Returns the free instances in a fabric domain that may run the model, fewest absences first. */
  freeInstances(fabricDomain: string, model: PlacementModel): readonly PlacementInstance[] {
    const free = this.#free.get(fabricDomain);
    if (!free || free.size === 0) return [];
    return [...free.values()]
      .filter((instance) => PlacementDraft.#isEligible(instance, model))
      .sort(
        (left, right) =>
          left.recentAbsences - right.recentAbsences ||
          (left.instanceId < right.instanceId ? -1 : 1),
      );
  }

  /** Returns the members of a group that could run the model if the group were released. */
  reclaimableInstances(group: PlacementGroup, model: PlacementModel): readonly PlacementInstance[] {
    return group.memberIds
      .map((instanceId) => this.#instances.get(instanceId))
      .filter((instance) => instance !== undefined)
      .filter(
        (instance) => instance.state === 'present' && PlacementDraft.#isEligible(instance, model),
      );
  }

  form(model: PlacementModel, fabricDomain: string, instanceIds: readonly string[]) {
    this.#removeFree(fabricDomain, instanceIds);
    this.#formedCount += 1;
    const groupId = `${formedPrefix}${this.#formedCount}`;
    const { modelKey, version } = model;
    this.#setGroup({
      groupId,
      modelKey,
      version,
      fabricDomain,
      phase: 'planned',
      memberIds: instanceIds,
    });
    this.#actions.push({ kind: 'form', modelKey: model.modelKey, fabricDomain, instanceIds });
  }

  repair(group: PlacementGroup, instanceIds: readonly string[]) {
    const { groupId, fabricDomain, memberIds } = group;
    this.#removeFree(fabricDomain, instanceIds);
    this.#setGroup({ ...group, phase: 'planned', memberIds: instanceIds });
    memberIds.filter((id) => !instanceIds.includes(id)).forEach((id) => this.#addFreeById(id));
    this.#actions.push({ kind: 'repair', groupId, fabricDomain, instanceIds });
  }

  release({ groupId, fabricDomain, memberIds }: PlacementGroup) {
    this.#groups.delete(groupId);
    this.#groupIds.get(fabricDomain)?.delete(groupId);
    memberIds.forEach((instanceId) => this.#addFreeById(instanceId));
    this.#actions.push({ kind: 'release', groupId, fabricDomain });
  }

  drain(group: PlacementGroup) {
    const { groupId, fabricDomain } = group;
    this.#setGroup({ ...group, phase: 'draining' });
    this.#actions.push({ kind: 'drain', groupId, fabricDomain });
  }

  static #isEligible(
    { targetKind, failureDomain }: PlacementInstance,
    model: PlacementModel,
  ): boolean {
    const isAllowed =
      model.failureDomains.length === 0 || model.failureDomains.includes(failureDomain);
    return targetKind === model.targetKind && isAllowed;
  }

  #setGroup(group: PlacementGroup) {
    const known = this.#groupIds.get(group.fabricDomain) ?? new Set<string>();
    known.add(group.groupId);
    this.#groupIds.set(group.fabricDomain, known);
    this.#groups.set(group.groupId, group);
  }

  #addFreeById(instanceId: string) {
    const instance = this.#instances.get(instanceId);
    if (instance) this.#addFree(instance);
  }

  #addFree(instance: PlacementInstance) {
    if (instance.state !== 'present') return;
    const { fabricDomain, instanceId } = instance;
    const free = this.#free.get(fabricDomain) ?? new Map<string, PlacementInstance>();
    free.set(instanceId, instance);
    this.#free.set(fabricDomain, free);
  }

  #removeFree(fabricDomain: string, instanceIds: readonly string[]) {
    const free = this.#free.get(fabricDomain);
    instanceIds.forEach((instanceId) => free?.delete(instanceId));
  }
}
