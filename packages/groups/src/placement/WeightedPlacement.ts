import { chooseAllocation, findAllocation } from './chooseAllocation';
import { PlacementDraft } from './PlacementDraft';
import type {
  PlacementAction,
  PlacementGroup,
  PlacementModel,
  PlacementPolicy,
  PlacementState,
} from './PlacementPolicy';
import { computeStandbyCount } from './computeStandbyCount';

/** Parameters of the policy. */
export interface WeightedPlacementOptions {
  /**
   * Longest time that the remaining members of a broken group wait for an absent one, which may
   * return with its weights still in memory.
   */
  readonly returnWaitMs: number;
  /** Upper bound of the same wait, as a fraction of the load time of a replacement. */
  readonly returnWaitFraction: number;
  /** Assumed number of absences of an instance per day. */
  readonly absencesPerInstanceDay: number;
  /** Preempted groups must be worth less than this fraction of the group they are preempted for. */
  readonly preemptionValueFraction: number;
  /** Value of a standby group, as a fraction of the value of a wanted group. */
  readonly standbyValueFraction: number;
}

const defaults: WeightedPlacementOptions = {
  returnWaitMs: 10_000,
  returnWaitFraction: 0.06,
  absencesPerInstanceDay: 0.2,
  preemptionValueFraction: 0.5,
  standbyValueFraction: 0.05,
};

const valuePerInstance = ({ value, instancesPerGroup }: PlacementModel) =>
  value / instancesPerGroup;

/**
 * Repairs broken groups in place, with free instances or by preempting lower-value groups, and keeps
 * standby groups beyond the wanted count according to the weights of the model.
 */
export class WeightedPlacement implements PlacementPolicy {
  readonly name = 'weighted';

  readonly reconsiderMs = 5_000;

  readonly #options: WeightedPlacementOptions;

  constructor(options: Partial<WeightedPlacementOptions> = {}) {
    this.#options = { ...defaults, ...options };
  }

  decide(state: PlacementState): readonly PlacementAction[] {
    const draft = new PlacementDraft(state);
    const models = new Map(state.models.map((model) => [model.modelKey, model]));
    const ordered = [...state.models].sort(
      (left, right) => right.value - left.value || valuePerInstance(right) - valuePerInstance(left),
    );
    draft
      .groups()
      .filter(({ modelKey, phase }) => !models.has(modelKey) && phase !== 'draining')
      .forEach((group) => draft.drain(group));
    ordered.forEach((model) => WeightedPlacement.#releaseOutdated(draft, model));
    ordered.forEach((model) => this.#repair(draft, model, models));
    ordered.forEach((model) =>
      this.#formGroups(draft, model, models, model.groupCount, model.value),
    );
    ordered.forEach((model) => this.#replaceOutdated(draft, model));
    ordered.forEach((model) => this.#adjustStandby(draft, model, models));
    return draft.actions;
  }

  /** Releases groups of other versions that are still planned or loading. */
  static #releaseOutdated(draft: PlacementDraft, model: PlacementModel) {
    draft
      .groups()
      .filter(({ modelKey, version }) => modelKey === model.modelKey && version !== model.version)
      .filter(({ phase }) => phase === 'planned' || phase === 'loading')
      .forEach((group) => draft.release(group));
  }

  #repair(
    draft: PlacementDraft,
    model: PlacementModel,
    models: ReadonlyMap<string, PlacementModel>,
  ) {
    draft
      .groups()
      .filter(({ modelKey, phase }) => modelKey === model.modelKey && phase === 'broken')
      .forEach((group) => this.#repairGroup(draft, group, model, models));
  }

  #repairGroup(
    draft: PlacementDraft,
    group: PlacementGroup,
    model: PlacementModel,
    models: ReadonlyMap<string, PlacementModel>,
  ) {
    if (group.version !== model.version) {
      draft.release(group);
      return;
    }
    const missing = group.memberIds.filter((instanceId) => !draft.isPresent(instanceId));
    const { returnWaitMs, returnWaitFraction } = this.#options;
    const waitMs = Math.min(returnWaitMs, model.loadTimeMs * returnWaitFraction);
    const isWaiting = missing.some((instanceId) => draft.absentMs(instanceId) < waitMs);
    if (isWaiting) return;
    const request = {
      model,
      count: missing.length,
      worth: this.#preemptionLimit(model.value),
      models,
    };
    const allocation = findAllocation(draft, group.fabricDomain, request);
    if (!allocation) {
      draft.release(group);
      return;
    }
    allocation.preempted.forEach((preempted) => draft.release(preempted));
    const replacements = [...allocation.instanceIds];
    draft.repair(
      group,
      group.memberIds.map((instanceId) =>
        draft.isPresent(instanceId) ? instanceId : replacements.shift()!,
      ),
    );
  }

  #preemptionLimit(value: number): number {
    return value * this.#options.preemptionValueFraction;
  }

  /**
   * Forms groups of a model until there are `wantedCount`, preempting groups that are worth less than
   * the allowed fraction of `value`.
   */
  #formGroups(
    draft: PlacementDraft,
    model: PlacementModel,
    models: ReadonlyMap<string, PlacementModel>,
    wantedCount: number,
    value: number,
  ) {
    const currentCount = draft
      .groups()
      .filter(
        ({ modelKey, version, phase }) =>
          modelKey === model.modelKey && version === model.version && phase !== 'draining',
      ).length;
    for (let count = currentCount; count < wantedCount; count += 1) {
      const request = {
        model,
        count: model.instancesPerGroup,
        worth: this.#preemptionLimit(value),
        models,
      };
      const allocation = chooseAllocation(draft, request);
      if (!allocation) return;
      allocation.preempted.forEach((preempted) => draft.release(preempted));
      draft.form(model, allocation.fabricDomain, allocation.instanceIds);
    }
  }

  #adjustStandby(
    draft: PlacementDraft,
    model: PlacementModel,
    models: ReadonlyMap<string, PlacementModel>,
  ) {
    const wantedCount =
      model.groupCount + computeStandbyCount(model, this.#options.absencesPerInstanceDay);
    const standbyValue = model.value * this.#options.standbyValueFraction;
    this.#formGroups(draft, model, models, wantedCount, standbyValue);
    const current = draft
      .groups()
      .filter(({ modelKey, phase }) => modelKey === model.modelKey && phase !== 'draining')
      .filter(({ version }) => version === model.version);
    const servingOrder = ({ phase }: PlacementGroup) => (phase === 'serving' ? 0 : 1);
    [...current]
      .sort((left, right) => servingOrder(left) - servingOrder(right))
      .slice(wantedCount)
      .forEach((group) => draft.drain(group));
  }

  /**
   * Drains outdated groups as new ones start to serve; drains them one at a time where there is no
   * capacity for new ones.
   */
  // The policy is a strategy object; this step needs none of its options.
  // eslint-disable-next-line class-methods-use-this
  #replaceOutdated(draft: PlacementDraft, model: PlacementModel) {
    const groups = draft.groups().filter(({ modelKey }) => modelKey === model.modelKey);
    const serving = groups.filter(({ phase }) => phase === 'serving');
    // Controllers may learn of the groups in different orders, but have to drain the same ones.
    const outdated = serving
      .filter(({ version }) => version !== model.version)
      .sort((left, right) => (left.groupId < right.groupId ? -1 : 1));
    const currentCount = groups.filter(({ version }) => version === model.version).length;
    const isBlocked = currentCount < model.groupCount && serving.length === groups.length;
    const drainCount = Math.max(serving.length - model.groupCount, isBlocked ? 1 : 0);
    outdated.slice(0, drainCount).forEach((group) => draft.drain(group));
  }
}
