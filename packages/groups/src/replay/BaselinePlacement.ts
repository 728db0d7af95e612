import { PlacementDraft } from '../placement/PlacementDraft';
import type {
  PlacementAction,
  PlacementGroup,
  PlacementModel,
  PlacementPolicy,
  PlacementState,
} from '../placement/PlacementPolicy';

/**
 * How a broken group is handled: released and formed again, repaired with spare instances, or left
 * until its members return.
 */
export type BaselineRepair = 'reform' | 'spare' | 'wait';

/** Simple placement policies with which the weighted policy is compared. */
export class BaselinePlacement implements PlacementPolicy {
  readonly name: string;

  readonly reconsiderMs = Infinity;

  readonly #repair: BaselineRepair;

  readonly #skippedModelKeys: ReadonlySet<string>;

  constructor(name: string, repair: BaselineRepair, skippedModelKeys: readonly string[]) {
    this.name = name;
    this.#repair = repair;
    this.#skippedModelKeys = new Set(skippedModelKeys);
  }

  decide(state: PlacementState): readonly PlacementAction[] {
    const draft = new PlacementDraft(state);
    const models = state.models.filter(({ modelKey }) => !this.#skippedModelKeys.has(modelKey));
    draft
      .groups()
      .filter(({ phase }) => phase === 'broken')
      .forEach((group) => {
        const model = models.find(({ modelKey }) => modelKey === group.modelKey);
        if (model) this.#repairGroup(draft, group, model);
      });
    models.forEach((model) => this.#formGroups(draft, model));
    return draft.actions;
  }

  #repairGroup(draft: PlacementDraft, group: PlacementGroup, model: PlacementModel) {
    if (this.#repair === 'reform') {
      draft.release(group);
      return;
    }
    const missing = group.memberIds.filter((instanceId) => !draft.isPresent(instanceId));
    if (missing.length === 0) draft.repair(group, group.memberIds);
    if (this.#repair === 'wait' || missing.length === 0) return;
    const spares = draft
      .freeInstances(group.fabricDomain, model)
      .map(({ instanceId }) => instanceId);
    if (spares.length < missing.length) return;
    draft.repair(
      group,
      group.memberIds.map((instanceId) =>
        draft.isPresent(instanceId) ? instanceId : spares.shift()!,
      ),
    );
  }

  /**
   * Forms missing groups in the first fabric domain with enough free instances; the `spare` policy
   * leaves one instance free for each group that has more than one member.
   */
  #formGroups(draft: PlacementDraft, model: PlacementModel) {
    const spareCount = (fabricDomain: string) =>
      this.#repair === 'spare'
        ? draft.groupsIn(fabricDomain).filter(({ memberIds }) => memberIds.length > 1).length
        : 0;
    let count = draft.groups().filter(({ modelKey }) => modelKey === model.modelKey).length;
    while (count < model.groupCount) {
      const found = draft
        .fabricDomains()
        .find(
          (fabricDomain) =>
            draft.freeCount(fabricDomain, model) >=
            model.instancesPerGroup + spareCount(fabricDomain),
        );
      if (found === undefined) return;
      const free = draft.freeInstances(found, model).map(({ instanceId }) => instanceId);
      draft.form(model, found, free.slice(0, model.instancesPerGroup));
      count += 1;
    }
  }
}
