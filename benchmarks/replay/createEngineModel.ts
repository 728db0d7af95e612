/** A request as submitted to an engine. */
export interface EngineRequest {
  readonly id: string;
  readonly priority: 'interactive' | 'batch';
  readonly prefixHashes: readonly string[];
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** An event in the processing of a request. */
export interface EngineEvent {
  readonly kind: 'first-token' | 'token' | 'end';
  readonly id: string;
}

/** A queueing model of a group of engines with continuous batching, in virtual time. */
export interface EngineModel {
  readonly submit: (request: EngineRequest) => void;
  readonly cancel: (id: string) => void;
  /** Advances the virtual time to `nowMs` and returns the events up to then. */
  readonly advance: (nowMs: number) => readonly EngineEvent[];
  readonly runningCount: () => number;
  readonly waitingCount: () => number;
  /** Returns the prefixes stored and evicted since the last call. */
  readonly takeCacheEvents: () => readonly CacheEvent[];
  readonly cachedTokens: () => number;
}

/** A change of the prefix cache. */
export interface CacheEvent {
  readonly kind: 'stored' | 'evicted';
  readonly prefixHash: string;
}

/** Parameters of a modelled group. */
export interface EngineModelOptions {
  readonly maxRunning: number;
  readonly cacheBlocks: number;
  readonly tokensPerBlock: number;
  /** Returns the factor by which the steps of the group take longer than normal. */
  readonly slownessAt: (nowMs: number) => number;
}

interface Sequence {
  readonly request: EngineRequest;
  promptTokensLeft: number;
  outputTokensLeft: number;
}

const stepBaseMs = 16;
const stepMsPerSequence = 0.3;
const stepMsPerPromptToken = 0.06;
const promptTokensPerStep = 384;

interface Step {
  readonly endsAtMs: number;
  /** Number of prompt tokens that the step processes, by sequence. */
  readonly promptTokens: ReadonlyMap<Sequence, number>;
}

/** Creates an idle group with an empty prefix cache. */
export const createEngineModel = (options: EngineModelOptions): EngineModel => {
  const { maxRunning, cacheBlocks, tokensPerBlock, slownessAt } = options;
  const waiting: Record<EngineRequest['priority'], EngineRequest[]> = {
    interactive: [],
    batch: [],
  };
  const running = new Map<string, Sequence>();
  const cache = new Set<string>();
  let cacheEvents: CacheEvent[] = [];
  let cachedTokens = 0;
  let step: Step | undefined;

  const countCachedBlocks = (prefixHashes: readonly string[]) => {
    const firstMissing = prefixHashes.findIndex((prefixHash) => !cache.has(prefixHash));
    return firstMissing === -1 ? prefixHashes.length : firstMissing;
  };

  const touch = (prefixHash: string) => {
    if (!cache.delete(prefixHash)) cacheEvents.push({ kind: 'stored', prefixHash });
    cache.add(prefixHash);
  };

  const store = (prefixHashes: readonly string[]) => {
    // Touches the deepest blocks first, so that a prefix is evicted after its extensions.
    [...prefixHashes].reverse().forEach(touch);
    for (const oldest of cache) {
      if (cache.size <= cacheBlocks) return;
      cache.delete(oldest);
      cacheEvents.push({ kind: 'evicted', prefixHash: oldest });
    }
  };

  const admit = () => {
    while (running.size < maxRunning) {
      const request = waiting.interactive.shift() ?? waiting.batch.shift();
      if (!request) return;
      const cachedPromptTokens = Math.min(
        request.promptTokens - 1,
        countCachedBlocks(request.prefixHashes) * tokensPerBlock,
      );
      cachedTokens += cachedPromptTokens;
      running.set(request.id, {
        request,
        promptTokensLeft: request.promptTokens - cachedPromptTokens,
        outputTokensLeft: request.outputTokens,
      });
    }
  };

  const startStep = (nowMs: number): Step | undefined => {
    admit();
    if (running.size === 0) return undefined;
    const promptTokens = new Map<Sequence, number>();
    let budget = promptTokensPerStep;
    running.forEach((sequence) => {
      const tokens = Math.min(budget, sequence.promptTokensLeft);
      if (tokens > 0) promptTokens.set(sequence, tokens);
      budget -= tokens;
    });
    const promptMs = (promptTokensPerStep - budget) * stepMsPerPromptToken;
    const durationMs = stepBaseMs + running.size * stepMsPerSequence + promptMs;
    return { endsAtMs: nowMs + durationMs * slownessAt(nowMs), promptTokens };
  };

  const produceToken = (sequence: Sequence, events: EngineEvent[]) => {
    const { request } = sequence;
    const isFirst = sequence.outputTokensLeft === request.outputTokens;
    if (isFirst) store(request.prefixHashes);
    Object.assign(sequence, { outputTokensLeft: sequence.outputTokensLeft - 1 });
    events.push({ kind: isFirst ? 'first-token' : 'token', id: request.id });
    if (sequence.outputTokensLeft > 0) return;
    running.delete(request.id);
    events.push({ kind: 'end', id: request.id });
  };

  const finishStep = (finished: Step): readonly EngineEvent[] => {
    const events: EngineEvent[] = [];
    running.forEach((sequence) => {
      const done = finished.promptTokens.get(sequence) ?? 0;
      Object.assign(sequence, { promptTokensLeft: sequence.promptTokensLeft - done });
      if (sequence.promptTokensLeft <= 0) produceToken(sequence, events);
    });
    return events;
  };

  return {
    submit: (request) => {
      waiting[request.priority].push(request);
    },
    cancel: (id) => {
      running.delete(id);
      waiting.interactive = waiting.interactive.filter((request) => request.id !== id);
      waiting.batch = waiting.batch.filter((request) => request.id !== id);
    },
    advance: (nowMs) => {
      const events: EngineEvent[] = [];
      if (step && step.endsAtMs <= nowMs) {
        events.push(...finishStep(step));
        step = undefined;
      }
      step ??= startStep(nowMs);
      return events;
    },
    runningCount: () => running.size,
    waitingCount: () => waiting.interactive.length + waiting.batch.length,
    takeCacheEvents: () => {
      const taken = cacheEvents;
      cacheEvents = [];
      return taken;
    },
    cachedTokens: () => cachedTokens,
  };
};
