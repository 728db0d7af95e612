import * as simulation from './simulatePlacing';

const seeds = [1, 2] as const;

const utilizations = [0.5, 0.75, 0.9] as const;

type Policy = 'by-number' | 'by-cost';

/** One fleet under one load, simulated with both policies. */
export interface PlacingCase {
  readonly title: string;
  /** Returns the mean of a figure over all seeds. */
  readonly mean: (policy: Policy, field: keyof simulation.PlacingResult) => number;
}

interface FleetSizes {
  readonly daemonCount: number;
  readonly headCount: number;
  readonly checkInIntervalMs: number;
}

interface Load {
  readonly name: string;
  readonly maxSlowness: number;
  readonly sizeSpread: number;
}

export const evenLoad: Load = { name: 'heads of one speed', maxSlowness: 1, sizeSpread: 0.5 };
export const unevenLoad: Load = {
  name: 'heads of speeds 1 to 3 and uneven sizes',
  maxSlowness: 3,
  sizeSpread: 1.5,
};

/** Returns the cases of a fleet under some loads; each simulates a policy once, when its first figure is asked for. */
export const listPlacingCases = (
  sizes: FleetSizes,
  loads: readonly Load[],
): readonly PlacingCase[] =>
  loads.flatMap(({ name, maxSlowness, sizeSpread }) =>
    utilizations.map((utilization) => {
      const fleet = {
        ...sizes,
        domainCount: 3,
        maxSlowness,
        sizeSpread,
        utilization,
        durationMs: 20_000,
      };
      const results = new Map<Policy, readonly simulation.PlacingResult[]>();
      const resultsOf = (policy: Policy) => {
        const known =
          results.get(policy) ??
          seeds.map((seed) => simulation.simulatePlacing(fleet, policy, seed));
        results.set(policy, known);
        return known;
      };
      return {
        title: `${sizes.daemonCount} daemons, ${sizes.headCount} ${name}, ${utilization} of their places`,
        mean: (policy, field) =>
          resultsOf(policy).reduce((sum, result) => sum + result[field], 0) / seeds.length,
      };
    }),
  );
