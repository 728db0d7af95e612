import type * as fleet from '@comfreydrum/fleet';
import { sumDemand, type DemandSecond } from './DemandSecond';

const msPerSecond = 1_000;

/** Returns the number of targets that the demand for each model keeps busy. */
export const busyTargetsOf = (
  models: readonly fleet.ServedModel[],
  seconds: readonly DemandSecond[],
): ReadonlyMap<string, number> =>
  new Map(
    models.map(({ name }) => [
      name,
      sumDemand(seconds, name).targetMs / (Math.max(1, seconds.length) * msPerSecond),
    ]),
  );
