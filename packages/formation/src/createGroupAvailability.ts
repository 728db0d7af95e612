import type * as clocks from '@comfreydrum/clock';

/** The groups of a model at one moment. */
export interface GroupCounts {
  readonly modelName: string;
  /** Groups for which there are targets. */
  readonly plannedCount: number;
  readonly standingCount: number;
}

/** Observes which fraction of each model's groups stands. Large groups lose members more often, and take longer to repair. */
export interface GroupAvailability {
  readonly observe: (serviceName: string, counts: readonly GroupCounts[]) => void;
  /** Returns the mean fractions of the last seconds by model. */
  readonly of: (serviceName: string) => ReadonlyMap<string, number>;
}

/** Long enough for several losses and repairs at the rate at which fleets lose members. */
const meanTimeMs = 8_000;

interface Mean {
  readonly fractions: ReadonlyMap<string, number>;
  readonly atMs: number;
}

/** Creates an observer that has seen nothing. */
export const createGroupAvailability = (clock: clocks.Clock): GroupAvailability => {
  const means = new Map<string, Mean>();
  return {
    observe: (serviceName, counts) => {
      const nowMs = clock.monotonicMs();
      const before = means.get(serviceName);
      const weight = before === undefined ? 1 : 1 - Math.exp((before.atMs - nowMs) / meanTimeMs);
      const fractions = new Map(
        counts
          .filter(({ plannedCount }) => plannedCount > 0)
          .map(({ modelName, plannedCount, standingCount }) => {
            const fraction = Math.min(1, standingCount / plannedCount);
            const mean = before?.fractions.get(modelName) ?? fraction;
            return [modelName, mean + weight * (fraction - mean)];
          }),
      );
      means.set(serviceName, { fractions, atMs: nowMs });
    },
    of: (serviceName) => means.get(serviceName)?.fractions ?? new Map(),
  };
};
