import type * as fleet from '@comfreydrum/fleet';
import { findSecondaryModel } from './findSecondaryModel';

/** Returns how many targets of a domain of `targetCount` targets and a main model stand in whole groups of a model. */
export const countTargetsFor = (
  targetCount: number,
  main: fleet.ServedModel,
  model: fleet.ServedModel,
  models: readonly fleet.ServedModel[],
): number => {
  if (main.name === model.name) return targetCount - (targetCount % model.groupSize);
  const secondary = findSecondaryModel(targetCount, main, models);
  return secondary?.model.name === model.name ? secondary.count * model.groupSize : 0;
};
