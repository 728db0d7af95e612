import type { PlacementModel } from './PlacementPolicy';

const msPerDay = 86_400_000;
/** Cost of an hour of group downtime, as a multiple of an hour in which its accelerators idle. */
const downtimeCostRatio = 10;
const minProbability = 0.005;
const maxStandbyCount = 16;
/** Time to bring up a group in addition to loading its weights. */
const startOverheadMs = 30_000;

/**
 * Returns how many standby groups of a model to keep serving beyond its wanted count, so that enough
 * groups still serve while some are broken.
 *
 * The number of groups broken at the same time is modeled as a Poisson variable. Each further
 * standby group is added while the probability that it is needed, times the cost of downtime,
 * exceeds the cost of its idle accelerators.
 */
export const computeStandbyCount = (
  model: PlacementModel,
  absencesPerInstanceDay: number,
): number => {
  const instanceCount = model.groupCount * model.instancesPerGroup;
  const repairMs = model.loadTimeMs + startOverheadMs;
  const meanBroken = (instanceCount * absencesPerInstanceDay * repairMs) / msPerDay;
  const weight = model.downtimeWeight * downtimeCostRatio;
  let probabilityOfCount = Math.exp(-meanBroken);
  let probabilityNeeded = 1 - probabilityOfCount;
  let count = 0;
  while (
    count < maxStandbyCount &&
    probabilityNeeded > minProbability &&
    weight * probabilityNeeded > model.strandedWeight
  ) {
    count += 1;
    probabilityOfCount *= meanBroken / count;
    probabilityNeeded -= probabilityOfCount;
  }
  return count;
};
