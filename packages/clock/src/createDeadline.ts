/** A signal that aborts at a deadline, or earlier together with one of its source signals. */
export interface Deadline {
  readonly signal: AbortSignal;
  /** Whether the signal aborted because of the time. */
  readonly hasPassed: () => boolean;
  /** Releases the timer and the source signals, after which the signal no longer aborts. */
  readonly release: () => void;
}

/** Longest delay of a timer; Node.js fires at once after a longer one. */
const maxTimerMs = 2_147_483_647;

/** Calls back once after a time, and returns a function that cancels it. */
type Timing = (timeoutMs: number, onEnd: () => void) => () => void;

const timeExactly: Timing = (timeoutMs, onEnd) => {
  const timer = setTimeout(onEnd, Math.min(maxTimerMs, Math.max(0, timeoutMs))).unref();
  return () => clearTimeout(timer);
};

/** Number of parts of an attentive timeout; what has arrived is read between any two of them. */
const attentiveParts = 4;

/** A part that ends late counts no more than one that ends in time. */
const timeAttentively: Timing = (timeoutMs, onEnd) => {
  let leftCount = attentiveParts;
  const timer = setInterval(() => {
    leftCount -= 1;
    if (leftCount > 0) return;
    clearInterval(timer);
    onEnd();
  }, timeoutMs / attentiveParts).unref();
  return () => clearInterval(timer);
};

const createDeadlineBy = (
  time: Timing,
  timeoutMs: number,
  sources: readonly AbortSignal[],
): Deadline => {
  const controller = new AbortController();
  let hasPassed = false;
  let release = () => {};

  const abort = (reason: unknown) => {
    release();
    controller.abort(reason);
  };
  const listeners = sources.map((source) => ({ source, onAbort: () => abort(source.reason) }));
  const cancel = time(timeoutMs, () => {
    hasPassed = true;
    abort(new DOMException('The operation was aborted due to timeout', 'TimeoutError'));
  });
  release = () => {
    cancel();
    listeners.forEach(({ source, onAbort }) => source.removeEventListener('abort', onAbort));
  };

  const aborted = sources.find((source) => source.aborted);
  if (aborted !== undefined) abort(aborted.reason);
  else {
    listeners.forEach(({ source, onAbort }) =>
      source.addEventListener('abort', onAbort, { once: true }),
    );
  }
  return { signal: controller.signal, hasPassed: () => hasPassed, release };
};

/**
 * Creates a deadline in `timeoutMs`. Unlike `AbortSignal.any`, which holds its sources weakly, it can't lose the
 * time-out in a garbage collection.
 */
export const createDeadline = (timeoutMs: number, sources: readonly AbortSignal[] = []): Deadline =>
  createDeadlineBy(timeExactly, timeoutMs, sources);

/**
 * Creates a deadline for an answer whose absence is to be evidence against the other side. Time in which this process was
 * held up does not count, as an answer may have arrived meanwhile.
 */
export const createAttentiveDeadline = (
  timeoutMs: number,
  sources: readonly AbortSignal[] = [],
): Deadline => createDeadlineBy(timeAttentively, timeoutMs, sources);
