/** A request in the batch of an engine. */
export interface Sequence {
  readonly promptTokens: number;
  /** Requests with a lower value run first. */
  readonly priority: number;
  /** Index of the first token to generate; above 0 for a resumed request. */
  readonly firstTokenIndex: number;
  readonly maxTokens: number;
  /** Called when the request starts to run; returns the number of cached prompt tokens. */
  readonly onStart: () => number;
  readonly onToken: (index: number) => void;
  readonly onFinish: () => void;
}

/** Step durations and limits of a batch. */
export interface BatchOptions {
  readonly tokenMs: number;
  readonly tokenMsPerRunning: number;
  readonly prefillMsPerToken: number;
  readonly maxRunning: number;
  /** Reports whether steps are blocked for now. */
  readonly isStalled: () => boolean;
}

/** Continuous batching: requests join and leave the batch between steps. */
export interface Batch {
  readonly submit: (sequence: Sequence) => void;
  readonly remove: (sequence: Sequence) => void;
  readonly runningCount: () => number;
  readonly waitingCount: () => number;
}

const stallCheckMs = 20;
// Late steps are followed by shorter ones, which make up for at most this delay.
const maxCatchUpMs = 50;

/** Creates an empty batch; it executes steps only while it has requests. */
export const createBatch = (options: BatchOptions): Batch => {
  const waiting: Sequence[] = [];
  const nextIndexOf = new Map<Sequence, number>();
  let isStepping = false;
  let dueMs = 0;

  const admit = (): number => {
    let prefillTokens = 0;
    while (waiting.length > 0 && nextIndexOf.size < options.maxRunning) {
      const sequence = waiting.shift()!;
      nextIndexOf.set(sequence, sequence.firstTokenIndex);
      const cachedTokens = sequence.onStart();
      prefillTokens += Math.max(0, sequence.promptTokens - cachedTokens);
    }
    return prefillTokens;
  };

  const emitTokens = () => {
    [...nextIndexOf].forEach(([sequence, index]) => {
      // A callback of an earlier sequence in this step may have removed this one.
      if (!nextIndexOf.has(sequence)) return;
      if (index < sequence.maxTokens) sequence.onToken(index);
      nextIndexOf.set(sequence, index + 1);
      if (index + 1 < sequence.maxTokens) return;
      nextIndexOf.delete(sequence);
      sequence.onFinish();
    });
  };

  const scheduleAfter = (durationMs: number, next: () => void) => {
    const nowMs = performance.now();
    dueMs = Math.max(dueMs, nowMs - maxCatchUpMs) + durationMs;
    if (dueMs <= nowMs) setImmediate(next);
    else setTimeout(next, dueMs - nowMs);
  };

  const step = () => {
    const prefillTokens = admit();
    if (nextIndexOf.size === 0) {
      isStepping = false;
      return;
    }
    const durationMs =
      options.tokenMs +
      options.tokenMsPerRunning * (nextIndexOf.size - 1) +
      options.prefillMsPerToken * prefillTokens;
    const finishStep = () => {
      if (options.isStalled() && nextIndexOf.size > 0) {
        scheduleAfter(stallCheckMs, finishStep);
        return;
      }
      emitTokens();
      step();
    };
    scheduleAfter(durationMs, finishStep);
  };

  const start = () => {
    if (isStepping) return;
    isStepping = true;
    dueMs = performance.now();
    setImmediate(step);
  };

  return {
    submit: (sequence) => {
      const index = waiting.findIndex(({ priority }) => priority > sequence.priority);
      waiting.splice(index < 0 ? waiting.length : index, 0, sequence);
      start();
    },
    remove: (sequence) => {
      const index = waiting.indexOf(sequence);
      if (index >= 0) waiting.splice(index, 1);
      nextIndexOf.delete(sequence);
    },
    runningCount: () => nextIndexOf.size,
    waitingCount: () => waiting.length,
  };
};
