/** The time between the request to stop a process and the moment at which it closes its connections. */
export interface DrainPeriod {
  /** Starts the period; further calls change nothing. */
  readonly begin: () => void;
  /** Returns how long the period has gone on; undefined before it. */
  readonly elapsedMs: () => number | undefined;
  /** Whether callers had had time to notice that the process stops when it was `atMs`. */
  readonly wasNoticeOver: (atMs: number) => boolean;
  /** Returns the time in which requests must end; infinite before the period. */
  readonly remainingMs: () => number;
  /** Watches the end of the period for one request. */
  readonly watchEnd: () => EndWatch;
  /** Ends the period: aborts the signals of all watches, also of later ones. */
  readonly end: () => void;
}

/** Tells one request that the time to drain is over. */
export interface EndWatch {
  readonly signal: AbortSignal;
  /** Called when the request has ended. */
  readonly release: () => void;
}

export interface DrainPeriodOptions {
  /** Returns the time of a monotonic clock. */
  readonly nowMs: () => number;
  readonly noticeMs: number;
  /** From the beginning, the notice included. */
  readonly durationMs: number;
}

const createEndReason = () => new Error('the process stops');

/** Creates a period that has not begun. */
export const createDrainPeriod = ({
  nowMs,
  noticeMs,
  durationMs,
}: DrainPeriodOptions): DrainPeriod => {
  // Each request has a controller of its own, as a signal that lives as long as the process would keep those derived from it.
  const watching = new Set<AbortController>();
  let beganAtMs: number | undefined;
  let hasEnded = false;

  const elapsedMs = () => (beganAtMs === undefined ? undefined : nowMs() - beganAtMs);

  return {
    begin: () => {
      beganAtMs ??= nowMs();
    },
    elapsedMs,
    wasNoticeOver: (atMs) => beganAtMs !== undefined && atMs - beganAtMs >= noticeMs,
    remainingMs: () => Math.max(0, durationMs - (elapsedMs() ?? -Infinity)),
    watchEnd: () => {
      const controller = new AbortController();
      if (hasEnded) controller.abort(createEndReason());
      else watching.add(controller);
      return { signal: controller.signal, release: () => watching.delete(controller) };
    },
    end: () => {
      hasEnded = true;
      watching.forEach((controller) => controller.abort(createEndReason()));
      watching.clear();
    },
  };
};
