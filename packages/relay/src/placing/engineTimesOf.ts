import type * as fleet from '@comfreydrum/fleet';
import type * as routing from '@comfreydrum/routing';

const msPerSecond = 1_000;

/** Returns the times of a service's engine for a model; undefined if its costs aren't configured. */
export const engineTimesOf = (
  { engine }: fleet.Service,
  modelName: string | undefined,
): routing.EngineTimes | undefined => {
  const model = engine?.models.find(({ name }) => name === modelName);
  if (engine?.costs === undefined || model === undefined) return undefined;
  const { costs } = engine;
  const { paceFactor } = model;
  return {
    slots: engine.slotsPerGroup,
    stepMs: engine.stepMs * paceFactor,
    stepMsPerRequest: engine.stepMsPerRequest * paceFactor,
    stepMsPerThousandContextTokens: costs.stepMsPerThousandContextTokens * paceFactor,
    stepsPerEvent: engine.stepsPerEvent,
    msPerPromptToken: (msPerSecond / engine.promptTokensPerSecond) * paceFactor,
    promptMsPerMillionPairs: costs.promptMsPerMillionPairs * paceFactor,
    promptTokensPerPass: costs.promptTokensPerStep,
    memoryTokens: costs.memoryTokensPerGroup,
  };
};
