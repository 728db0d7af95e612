import * as routing from '@comfreydrum/routing';

/** What has been learned of the requests of one model and of the targets that serve it. */
export interface ModelCosts {
  readonly mean: (engine: routing.EngineTimes) => routing.MeanCost;
  /** Returns how long requests stay at a target on average. */
  readonly meanDurationMs: (engine: routing.EngineTimes) => number;
  readonly onRequest: (cost: routing.RequestCost) => void;
  readonly onEnd: (passCount: number, durationMs: number) => void;
  /** Compares pauses with the expected time of a pass. */
  readonly passes: routing.SpeedEstimates;
  /** Compares first events with the predicted ones. */
  readonly firstEvents: routing.SpeedEstimates;
}

/** Mean tokens of requests as the configuration names them. */
export interface UsualTokens {
  readonly promptTokens: number | undefined;
  readonly outputTokens: number | undefined;
}

const smoothing = 0.01;
const defaultTokens = { promptTokens: 1_000, outputTokens: 100 };

/** Creates the costs of a model of which only the usual requests are known. */
export const createModelCosts = (usual: UsualTokens): ModelCosts => {
  let requestCount = 0;
  let endedCount = 0;
  let learned: routing.MeanCost | undefined;
  let passCount: number | undefined;
  let durationMs: number | undefined;

  const smooth = (before: number | undefined, sample: number, count: number) =>
    before === undefined ? sample : before + Math.max(smoothing, 1 / count) * (sample - before);

  const mean: ModelCosts['mean'] = (engine) => {
    const known =
      learned ??
      routing.predictRequestCost(engine, {
        promptTokens: usual.promptTokens ?? defaultTokens.promptTokens,
        outputTokens: usual.outputTokens ?? defaultTokens.outputTokens,
      });
    return passCount === undefined ? known : { ...known, passCount };
  };

  return {
    mean,
    meanDurationMs: (engine) => {
      const { promptMs, passCount: passes } = mean(engine);
      const halfBatch = engine.slots / 2;
      return durationMs ?? promptMs + passes * routing.passMsAt(engine, mean(engine), halfBatch);
    },
    onRequest: (cost) => {
      requestCount += 1;
      learned = {
        promptMs: smooth(learned?.promptMs, cost.promptMs, requestCount),
        passCount: smooth(learned?.passCount, cost.passCount, requestCount),
        memoryTokens: smooth(learned?.memoryTokens, cost.memoryTokens, requestCount),
      };
    },
    onEnd: (passes, endedDurationMs) => {
      endedCount += 1;
      passCount = smooth(passCount, passes, endedCount);
      durationMs = smooth(durationMs, endedDurationMs, endedCount);
    },
    passes: routing.createSpeedEstimates(),
    firstEvents: routing.createSpeedEstimates(),
  };
};
