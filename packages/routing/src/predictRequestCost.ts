import type { EngineTimes } from './EngineTimes';

/** The tokens of a request; the output is an estimate. */
export interface RequestTokens {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** What a request is expected to cost a target of normal speed. */
export interface RequestCost extends RequestTokens {
  /** Time in which the engine does nothing but read the prompt. */
  readonly promptMs: number;
  /** Number of passes that generate its output. */
  readonly passCount: number;
  /** Tokens in memory when the request ends. */
  readonly memoryTokens: number;
}

const tokensPerThousand = 1_000;
const pairsPerMillion = 1_000_000;

/** Returns the time that the engine needs to read a prompt. */
const promptMsOf = (engine: EngineTimes, tokens: number): number => {
  // Each token is paired with all earlier ones.
  const pairs = tokens ** 2 / 2;
  return (
    tokens * engine.msPerPromptToken + (pairs / pairsPerMillion) * engine.promptMsPerMillionPairs
  );
};

/** Returns the cost of a request; token counts beyond the memory of a target are cut off there. */
export const predictRequestCost = (engine: EngineTimes, tokens: RequestTokens): RequestCost => {
  const promptTokens = Math.min(engine.memoryTokens, Math.max(1, tokens.promptTokens));
  const outputTokens = Math.min(engine.memoryTokens, Math.max(1, tokens.outputTokens));
  return {
    promptTokens,
    outputTokens,
    promptMs: promptMsOf(engine, promptTokens),
    passCount: Math.ceil(outputTokens / engine.stepsPerEvent),
    memoryTokens: promptTokens + outputTokens,
  };
};

/** What the requests at a target cost on average. */
export type MeanCost = Pick<RequestCost, 'promptMs' | 'passCount' | 'memoryTokens'>;

/** Returns how much each request at a target adds to a pass; each one also reads its prompt once. */
export const passMsPerRequest = (engine: EngineTimes, mean: MeanCost): number =>
  engine.stepsPerEvent *
    (engine.stepMsPerRequest +
      (engine.stepMsPerThousandContextTokens * mean.memoryTokens) / tokensPerThousand) +
  mean.promptMs / Math.max(1, mean.passCount);

/** Returns the mean time of a pass, and therefore between two events, while `requestCount` requests run. */
export const passMsAt = (engine: EngineTimes, mean: MeanCost, requestCount: number): number =>
  engine.stepsPerEvent * engine.stepMs + requestCount * passMsPerRequest(engine, mean);

/** Returns how long a request runs at a target together with `requestCount` others. */
export const durationMsAt = (
  engine: EngineTimes,
  mean: MeanCost,
  cost: RequestCost,
  requestCount: number,
): number => cost.promptMs + cost.passCount * passMsAt(engine, mean, requestCount + 1);

/** Passes until a first event beyond those that read prompts: half of the current one, and the one that generates. */
export const passesToFirstEvent = 1.5;

/** Returns the time to the first event of a request at a target that runs `requestCount` others. */
export const firstEventMsAt = (
  engine: EngineTimes,
  mean: MeanCost,
  cost: RequestCost,
  requestCount: number,
): number => cost.promptMs + passesToFirstEvent * passMsAt(engine, mean, requestCount + 1);

/**
 * Returns how many requests a target can run together without pauses over `gapTargetMs` in their streams and
 * within its memory.
 */
export const maxBatchOf = (
  engine: EngineTimes,
  mean: MeanCost,
  gapTargetMs: number | undefined,
): number => {
  const byMemory = engine.memoryTokens / Math.max(1, mean.memoryTokens);
  // A pause is as long as a pass that reads as many prompt tokens as it may.
  const longestReadMs = engine.promptTokensPerPass * engine.msPerPromptToken;
  const spareMs = (gapTargetMs ?? Infinity) - longestReadMs - engine.stepsPerEvent * engine.stepMs;
  const stepMsPerRequest = passMsPerRequest(engine, { ...mean, promptMs: 0 });
  const byGap = stepMsPerRequest > 0 ? spareMs / stepMsPerRequest : Infinity;
  return Math.max(1, Math.floor(Math.min(engine.slots, byMemory, byGap)));
};
