/** Estimates how long requests take, by the name of their route. */
export interface DurationEstimates {
  readonly record: (routeName: string, durationMs: number) => void;
  /** Returns the mean time of recent requests of a route; undefined until one has been answered. */
  readonly meanMs: (routeName: string) => number | undefined;
  /** Returns the time in which nearly all requests of a route end; undefined until one has been answered. */
  readonly upperMs: (routeName: string) => number | undefined;
}

interface Estimate {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** The weights and the margin of the estimate of round-trip times in TCP (RFC 6298). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviations = 4;
/** Routes come and go with the plans; those without requests for longest are forgotten. */
const maxRoutes = 4_096;

const update = ({ meanMs, deviationMs }: Estimate, durationMs: number): Estimate => ({
  meanMs: meanMs + meanWeight * (durationMs - meanMs),
  deviationMs: deviationMs + deviationWeight * (Math.abs(durationMs - meanMs) - deviationMs),
});

/** Creates estimates of no route. */
export const createDurationEstimates = (): DurationEstimates => {
  const estimates = new Map<string, Estimate>();

  return {
    record: (routeName, durationMs) => {
      const known = estimates.get(routeName);
      const first = { meanMs: durationMs, deviationMs: durationMs / 2 };
      estimates.delete(routeName);
      estimates.set(routeName, known === undefined ? first : update(known, durationMs));
      if (estimates.size > maxRoutes) estimates.delete(estimates.keys().next().value!);
    },
    meanMs: (routeName) => estimates.get(routeName)?.meanMs,
    upperMs: (routeName) => {
      const known = estimates.get(routeName);
      return known && known.meanMs + deviations * known.deviationMs;
    },
  };
};
