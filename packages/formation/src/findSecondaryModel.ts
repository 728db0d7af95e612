import type * as fleet from '@comfreydrum/fleet';

/** Groups of another model for which a fabric domain has targets left over. */
export interface SecondaryGroups {
  readonly model: fleet.ServedModel;
  readonly count: number;
}

/** Targets of a domain that no group uses, so that they can replace lost members at once. */
export const minSpares = 2;

/**
 * Returns the groups that fit into what the groups of a domain's main model leave over, besides spares. With 11
 * targets and groups of 6, the other 5 would serve no caller; they suffice for a group of 3 and two spares.
 */
export const findSecondaryModel = (
  targetCount: number,
  main: fleet.ServedModel,
  models: readonly fleet.ServedModel[],
): SecondaryGroups | undefined => {
  if (targetCount < main.groupSize) return undefined;
  const leftCount = (targetCount % main.groupSize) - minSpares;
  const [model] = models
    .filter(({ name, groupSize }) => name !== main.name && groupSize <= leftCount)
    .sort((one, other) => other.demandShare - one.demandShare);
  return model && { model, count: Math.floor(leftCount / model.groupSize) };
};
