import type * as fleet from '@comfreydrum/fleet';
import { findSecondaryModel } from './findSecondaryModel';

/** A fabric domain whose targets can form groups. */
export interface FabricDomain {
  readonly name: string;
  readonly failureDomain: string;
  readonly targets: readonly fleet.Target[];
}

const countWith = (
  { targets }: FabricDomain,
  modelName: string,
  modelsOf: (target: fleet.Target) => readonly string[],
): number => targets.filter((target) => modelsOf(target).includes(modelName)).length;

/** Counts the targets that hold a model's weights, so that using it needs no load from the weight store. */
const countWarm = (domain: FabricDomain, modelName: string): number =>
  countWith(domain, modelName, ({ stagedModels, loadedModels }) => [
    ...stagedModels,
    ...loadedModels,
  ]);

/**
 * Returns how many of `targetCount` targets are in groups of a model. Those of a partial group count where there is no
 * whole one, since no domain may have enough targets for the largest group while targets are still registering.
 */
const countInGroups = (targetCount: number, { groupSize }: fleet.ServedModel): number =>
  targetCount < groupSize ? targetCount : targetCount - (targetCount % groupSize);

const findWarmest = (
  domain: FabricDomain,
  models: readonly fleet.ServedModel[],
): fleet.ServedModel | undefined =>
  models
    .map((model) => ({ model, count: countWarm(domain, model.name) }))
    .filter(({ count }) => count > 0)
    .sort((one, other) => other.count - one.count)[0]?.model;

/**
 * Assigns one model to each fabric domain, so that the surviving members of two broken groups in a domain can
 * form a group without loading weights. A domain keeps the model that most of its targets hold. Every other
 * domain gets the model with the fewest targets relative to its share of the work, compared first within the failure
 * domain. Domains register one after another, so the assignment in `before` is kept until targets hold other
 * weights. Groups that fit into the rest of a domain count for their model too. A model that gets no group takes a
 * domain over from a model that has several. `wanted` names models that domains get whatever their targets hold.
 */
export const assignModels = (
  domains: readonly FabricDomain[],
  models: readonly fleet.ServedModel[],
  before: ReadonlyMap<string, string> = new Map(),
  wanted: ReadonlyMap<string, string> = new Map(),
): ReadonlyMap<string, string> => {
  const assigned = new Map<string, fleet.ServedModel>();
  domains.forEach((domain) => {
    const findNamed = (names: ReadonlyMap<string, string>) =>
      models.find(({ name }) => name === names.get(domain.name));
    const model = findNamed(wanted) ?? findWarmest(domain, models) ?? findNamed(before);
    if (model !== undefined) assigned.set(domain.name, model);
  });

  // Targets register over several seconds; the largest domain is an estimate of the final size of the others.
  const usualCount = Math.max(0, ...domains.map(({ targets }) => targets.length));

  /** Returns the number of targets in a domain that work for a model. */
  const countFor = (domain: FabricDomain, model: fleet.ServedModel): number => {
    const main = assigned.get(domain.name);
    if (main === undefined) return 0;
    if (main === model) return countInGroups(usualCount, model);
    const secondary = findSecondaryModel(usualCount, main, models);
    return secondary?.model === model ? secondary.count * model.groupSize : 0;
  };

  const capacity = (model: fleet.ServedModel, failureDomain: string | undefined) =>
    domains
      .filter((domain) => failureDomain === undefined || domain.failureDomain === failureDomain)
      .reduce((sum, domain) => sum + countFor(domain, model), 0) / model.demandShare;

  domains
    .filter(({ name }) => !assigned.has(name))
    .sort((one, other) => one.name.localeCompare(other.name))
    .forEach(({ name, failureDomain }) => {
      const [next] = [...models].sort(
        (one, other) =>
          capacity(one, failureDomain) - capacity(other, failureDomain) ||
          capacity(one, undefined) - capacity(other, undefined) ||
          other.demandShare - one.demandShare ||
          // A lost member takes fewer others with it in a smaller group.
          one.groupSize - other.groupSize,
      );
      if (next !== undefined) assigned.set(name, next);
    });

  const countDomains = (model: fleet.ServedModel) =>
    [...assigned.values()].filter((other) => other === model).length;

  /** Reassigns a domain of the model with the most targets relative to its demand to a model without one. */
  const freeDomainFor = (needy: fleet.ServedModel) => {
    const [donor] = models
      .filter((model) => countDomains(model) > 1)
      .sort((one, other) => capacity(other, undefined) - capacity(one, undefined));
    const candidates = domains
      .map(({ name }) => name)
      .filter((name) => assigned.get(name) === donor)
      .sort();
    const chosen = candidates.find((name) => before.get(name) === needy.name) ?? candidates[0];
    if (donor !== undefined && chosen !== undefined) assigned.set(chosen, needy);
  };

  const hasTargets = (model: fleet.ServedModel) =>
    countDomains(model) > 0 ||
    capacity(model, undefined) > 0 ||
    domains.some((domain) => countWarm(domain, model.name) >= model.groupSize);

  models.filter((model) => !hasTargets(model)).forEach(freeDomainFor);

  return new Map([...assigned].map(([name, model]) => [name, model.name]));
};
