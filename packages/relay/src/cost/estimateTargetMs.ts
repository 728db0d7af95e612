import type * as fleet from '@comfreydrum/fleet';
import type { RequestSize } from '../CallerRequest';

const tokensPerThousand = 1_000;
const pairsPerMillion = 1_000_000;
const msPerSecond = 1_000;

/**
 * Returns the expected token counts of a request; undefined if neither its caller nor the configuration names them, or if they
 * exceed the memory of a group, which can't run the request then.
 */
const tokensOf = (
  size: RequestSize | undefined,
  costs: fleet.EngineCosts | undefined,
): { readonly prompt: number; readonly output: number } | undefined => {
  const prompt = size?.promptTokens ?? costs?.usualPromptTokens;
  const limit = size?.maxOutputTokens ?? Infinity;
  const output = Math.min(
    limit,
    size?.expectedOutputTokens ?? costs?.usualOutputTokens ?? Infinity,
  );
  if (prompt === undefined || output === Infinity) return undefined;
  return prompt + output > (costs?.memoryTokensPerGroup ?? Infinity)
    ? undefined
    : { prompt, output };
};

/**
 * Returns the time that a request occupies a model's targets, summed over the members of a group, if its group runs a
 * half-full batch. Reading the prompt occupies the group alone; a step is shared with the other requests of the batch.
 */
export const estimateTargetMs = (
  engine: fleet.EngineProfile,
  model: fleet.ServedModel,
  size: RequestSize | undefined,
): number | undefined => {
  const { costs } = engine;
  const tokens = tokensOf(size, costs);
  if (tokens === undefined) return undefined;
  const { prompt, output } = tokens;
  const batch = Math.max(1, engine.slotsPerGroup / 2);
  const pairs = prompt ** 2 / 2;
  const readMs =
    (prompt / engine.promptTokensPerSecond) * msPerSecond +
    (pairs / pairsPerMillion) * (costs?.promptMsPerMillionPairs ?? 0);
  const contextTokens = prompt + output / 2;
  const ownStepMs =
    engine.stepMs / batch +
    engine.stepMsPerRequest +
    (contextTokens / tokensPerThousand) * (costs?.stepMsPerThousandContextTokens ?? 0);
  return (readMs + output * ownStepMs) * model.paceFactor * model.groupSize;
};
