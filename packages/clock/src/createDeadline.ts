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

/**
 * Creates a deadline in `timeoutMs`. Unlike `AbortSignal.any`, which holds its sources weakly, it can't lose the
 * time-out in a garbage collection.
 */
export const createDeadline = (
  timeoutMs: number,
  sources: readonly AbortSignal[] = [],
): Deadline => {
  const controller = new AbortController();
  let hasPassed = false;
  let release = () => {};

  const abort = (reason: unknown) => {
    release();
    controller.abort(reason);
  };
  const listeners = sources.map((source) => ({ source, onAbort: () => abort(source.reason) }));
  const timer = setTimeout(
    () => {
      hasPassed = true;
      abort(new DOMException('The operation was aborted due to timeout', 'TimeoutError'));
    },
    Math.min(maxTimerMs, Math.max(0, timeoutMs)),
  ).unref();
  release = () => {
    clearTimeout(timer);
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
