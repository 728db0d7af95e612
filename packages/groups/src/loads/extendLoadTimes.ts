import type * as configuration from '@comfreydrum/configuration';
import type { ModelPlan } from '../advanceDomain';

/**
 * Returns the plans with their load times raised to the transfer time from the weight store, where
 * that is longer.
 */
export const extendLoadTimes = (
  plans: ReadonlyMap<string, ModelPlan>,
  documents: readonly configuration.Configuration[],
): ReadonlyMap<string, ModelPlan> => {
  const transferTimeMs = ({ team, modelName }: ModelPlan): number => {
    const document = documents.find((candidate) => candidate.team === team);
    const model = document?.models.find(({ name }) => name === modelName);
    const bytesPerSecond = document?.weightStoreBytesPerSecond ?? Infinity;
    return ((model?.weightBytes ?? 0) * 1_000) / bytesPerSecond;
  };
  return new Map(
    [...plans].map(([modelKey, plan]) => [
      modelKey,
      { ...plan, loadTimeMs: Math.max(plan.loadTimeMs, transferTimeMs(plan)) },
    ]),
  );
};
