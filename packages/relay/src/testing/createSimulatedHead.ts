import type * as fleet from '@comfreydrum/fleet';

/** A request at a simulated head. */
export interface SimulatedStream {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly onEvent: (nowMs: number) => void;
  readonly onEnd: (nowMs: number) => void;
}

interface ActiveStream {
  readonly stream: SimulatedStream;
  unreadTokens: number;
  writtenTokens: number;
}

/** A head that works in passes: each reads some prompt tokens and executes the steps of one event. */
export interface SimulatedHead {
  /** Adds a stream; reports whether it has to wait for a place. */
  readonly add: (stream: SimulatedStream, nowMs: number) => boolean;
  readonly count: () => number;
  /** End of the current pass; Infinity while the head is idle. */
  readonly passEndsAtMs: () => number;
  readonly endPass: () => void;
}

const msPerSecond = 1_000;

/** Creates an idle head that is `slowness` times slower than the engine's figures. */
export const createSimulatedHead = (
  engine: fleet.EngineProfile,
  costs: fleet.EngineCosts,
  slowness: number,
): SimulatedHead => {
  let active: ActiveStream[] = [];
  const waiting: ActiveStream[] = [];
  let reads: { readonly entry: ActiveStream; readonly tokens: number }[] = [];
  let endsAtMs = Infinity;

  const planReads = () => {
    let left = costs.promptTokensPerStep;
    reads = [];
    active.forEach((entry) => {
      const tokens = Math.min(left, entry.unreadTokens);
      if (tokens === 0) return;
      left -= tokens;
      reads.push({ entry, tokens });
    });
  };

  const readMs = () =>
    reads.reduce((sum, { entry, tokens }) => {
      const earlier = entry.stream.promptTokens - entry.unreadTokens;
      const pairs = tokens * (earlier + tokens / 2);
      const pairsMs = (pairs / 1_000_000) * costs.promptMsPerMillionPairs;
      return sum + (tokens * msPerSecond) / engine.promptTokensPerSecond + pairsMs;
    }, 0);

  const isWriting = ({ unreadTokens }: ActiveStream) => unreadTokens === 0;

  const startPass = (nowMs: number) => {
    while (active.length < engine.slotsPerGroup && waiting.length > 0)
      active.push(waiting.shift()!);
    if (active.length === 0) {
      endsAtMs = Infinity;
      return;
    }
    planReads();
    const writers = active.filter(isWriting);
    const stepMs = writers.reduce(
      (sum, { stream, writtenTokens }) =>
        sum +
        engine.stepMsPerRequest +
        ((stream.promptTokens + writtenTokens) / 1_000) * costs.stepMsPerThousandContextTokens,
      engine.stepMs,
    );
    const steps = writers.length > 0 ? engine.stepsPerEvent : 1;
    endsAtMs = nowMs + (steps * stepMs + readMs()) * slowness;
  };

  const endPass = () => {
    const nowMs = endsAtMs;
    const writers = active.filter(isWriting);
    reads.forEach(({ entry, tokens }) => {
      Object.assign(entry, { unreadTokens: entry.unreadTokens - tokens });
    });
    writers.forEach((entry) => {
      Object.assign(entry, { writtenTokens: entry.writtenTokens + engine.stepsPerEvent });
      entry.stream.onEvent(nowMs);
    });
    const hasEnded = ({ stream, writtenTokens }: ActiveStream) =>
      writtenTokens >= stream.outputTokens;
    active.filter(hasEnded).forEach(({ stream }) => stream.onEnd(nowMs));
    active = active.filter((entry) => !hasEnded(entry));
    startPass(nowMs);
  };

  return {
    add: (stream, nowMs) => {
      const mustWait = active.length + waiting.length >= engine.slotsPerGroup;
      waiting.push({ stream, unreadTokens: stream.promptTokens, writtenTokens: 0 });
      if (endsAtMs === Infinity) startPass(nowMs);
      return mustWait;
    },
    count: () => active.length + waiting.length,
    passEndsAtMs: () => endsAtMs,
    endPass,
  };
};
