/** The cost of a target as a function of the number of its requests: convex, of two straight lines. */
export interface FillCurve {
  /** Number of requests that the target has. */
  readonly count: number;
  /** Cost without requests. */
  readonly baseCost: number;
  readonly costPerRequest: number;
  /** Number of requests from which on each one costs more. */
  readonly knee: number;
  readonly costPerRequestBeyond: number;
}

/** How requests spread over targets if each goes to the one that costs least by then. */
export interface FilledLevels {
  /** The cost of the targets that get some, once they have them. */
  readonly level: number;
  /** Number of requests that each target gets. */
  readonly added: readonly number[];
}

const minSlope = 1e-6;
const bisectionSteps = 20;

export const costAt = (curve: FillCurve, count: number): number =>
  curve.baseCost +
  count * curve.costPerRequest +
  Math.max(0, count - curve.knee) * curve.costPerRequestBeyond;

/** The rest of a curve, from the present number of requests on. */
interface Rise {
  readonly startCost: number;
  readonly kneeCost: number;
  readonly requestsPerCost: number;
  readonly requestsPerCostBeyond: number;
}

const toRise = (curve: FillCurve): Rise => {
  const slope = Math.max(minSlope, curve.costPerRequest);
  const startCost = costAt(curve, curve.count);
  return {
    startCost,
    kneeCost: startCost + Math.max(0, curve.knee - curve.count) * slope,
    requestsPerCost: 1 / slope,
    requestsPerCostBeyond: 1 / (slope + curve.costPerRequestBeyond),
  };
};

/** Returns how many more requests raise the cost of a target to a level. */
const addedUpTo = (rise: Rise, level: number): number => {
  if (level <= rise.startCost) return 0;
  if (level <= rise.kneeCost) return (level - rise.startCost) * rise.requestsPerCost;
  return (
    (rise.kneeCost - rise.startCost) * rise.requestsPerCost +
    (level - rise.kneeCost) * rise.requestsPerCostBeyond
  );
};

/**
 * Spreads requests so that the targets that get any end at the same cost. Daemons that all draw targets with these
 * shares bring them to the same level together, without knowing of each other's latest choices.
 */
export const fillLevels = (curves: readonly FillCurve[], requestCount: number): FilledLevels => {
  const rises = curves.map(toRise);
  let low = Infinity;
  let high = Infinity;
  curves.forEach((curve, index) => {
    low = Math.min(low, rises[index]!.startCost);
    high = Math.min(high, costAt(curve, curve.count + requestCount));
  });
  for (let step = 0; step < bisectionSteps; step += 1) {
    const middle = (low + high) / 2;
    let total = 0;
    for (let index = 0; index < rises.length; index += 1) total += addedUpTo(rises[index]!, middle);
    if (total < requestCount) low = middle;
    else high = middle;
  }
  return { level: high, added: rises.map((rise) => addedUpTo(rise, high)) };
};
