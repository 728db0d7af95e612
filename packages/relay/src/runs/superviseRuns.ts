import type * as clocks from '@comfreydrum/clock';
import type { Candidate } from '../chooseTarget';
import type { RunAllowance, RunDecision, RunDenial } from './createRunAllowance';

/** The end of one run. */
export type RunResult<Success, Failure> =
  | { readonly kind: 'succeeded'; readonly success: Success }
  | { readonly kind: 'failed'; readonly failure: Failure };

/** What a run tells the supervisor, and how the supervisor stops it. */
export interface RunControl {
  /** Aborts when another run has delivered first. */
  readonly signal: AbortSignal;
  /**
   * Asks for a hedge since the run has been silent for `silentMs`; it goes on. Returns the decision, or undefined if
   * it is too early for one.
   */
  readonly onSilent: (silentMs: number) => RunDecision | undefined;
  /** Stops all other runs; called before anything of this run reaches the caller. */
  readonly stopOtherRuns: () => void;
  /** Reports whether no other run is in progress. */
  readonly isOnlyRun: () => boolean;
}

/** Why a run starts. */
export type RunReason = 'first' | 'retry' | 'hedge';

export interface SuperviseOptions<Success, Failure> {
  readonly clock: clocks.Clock;
  readonly allowance: RunAllowance;
  readonly callerDisconnected: AbortSignal;
  /** Runs the request on a target. */
  readonly run: (
    candidate: Candidate,
    reason: RunReason,
    control: RunControl,
  ) => Promise<RunResult<Success, Failure>>;
  /** Records a failed run in the allowance; the next run waits for it. */
  readonly onFailure: (candidate: Candidate, failure: Failure) => Promise<void>;
}

export type SuperviseResult<Success> =
  | { readonly kind: 'succeeded'; readonly success: Success }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'denied'; readonly denial: RunDenial };

interface Run {
  readonly candidate: Candidate;
  readonly abort: AbortController;
}

/** Time after a hedge that was denied or has failed until the next one. */
const hedgeRetryMs = 250;

/** Creates a queue of the runs that have ended; `next` waits for one. */
const createEndQueue = <Item>() => {
  const items: Item[] = [];
  let wake = () => {};
  const waitForItem = () =>
    new Promise<void>((resolve) => {
      wake = resolve;
    });

  return {
    push: (item: Item) => {
      items.push(item);
      wake();
    },
    next: async (): Promise<Item> => {
      while (items.length === 0) await waitForItem();
      return items.shift()!;
    },
  };
};

/** The end of a run: its result, or the error that it threw. */
type RunEnd<Success, Failure> =
  RunResult<Success, Failure> | { readonly kind: 'threw'; readonly cause: unknown };

/**
 * Runs a request until a run succeeds or no further one is allowed. A run is stopped only when another one delivers,
 * so a target that is silent for a while keeps its run unless a hedge is faster.
 */
export const superviseRuns = async <Success, Failure>(
  options: SuperviseOptions<Success, Failure>,
): Promise<SuperviseResult<Success>> => {
  const { clock, allowance, callerDisconnected } = options;
  /** In the order in which they started. */
  const running = new Set<Run>();
  const ended = createEndQueue<{ run: Run; end: RunEnd<Success, Failure> }>();
  let failuresRecorded = Promise.resolve();
  let nextHedgeAtMs = -Infinity;

  const stopAllExcept = (kept?: Run) =>
    running.forEach((run) => {
      if (run === kept) return;
      running.delete(run);
      run.abort.abort(new Error('another run has delivered first'));
    });

  const start = (candidate: Candidate, reason: RunReason) => {
    const run: Run = { candidate, abort: new AbortController() };
    running.add(run);

    const onSilent = (silentMs: number): RunDecision | undefined => {
      const nowMs = clock.monotonicMs();
      // A hedge of this run may still be faster, and asks for the next one itself.
      if ([...running].at(-1) !== run || nowMs < nextHedgeAtMs) return undefined;
      const decision = allowance.hedge(nowMs, silentMs);
      if (decision.kind === 'allowed') start(decision.candidate, 'hedge');
      else nextHedgeAtMs = nowMs + hedgeRetryMs;
      return decision;
    };

    const control: RunControl = {
      signal: run.abort.signal,
      onSilent,
      stopOtherRuns: () => {
        if (running.has(run)) stopAllExcept(run);
      },
      isOnlyRun: () => running.size === 1 && running.has(run),
    };
    options.run(candidate, reason, control).then(
      (end) => ended.push({ run, end }),
      (cause: unknown) => ended.push({ run, end: { kind: 'threw', cause } }),
    );
  };

  try {
    for (;;) {
      if (running.size === 0) {
        await failuresRecorded;
        const decision = await allowance.next();
        if (callerDisconnected.aborted) return { kind: 'caller-gone' };
        if (decision.kind === 'denied') return decision;
        start(decision.candidate, decision.isRetry ? 'retry' : 'first');
      }
      const { run, end } = await ended.next();
      if (callerDisconnected.aborted) return { kind: 'caller-gone' };
      if (!running.has(run)) continue;
      if (end.kind === 'succeeded') return end;
      if (end.kind === 'threw') throw end.cause;
      running.delete(run);
      nextHedgeAtMs = clock.monotonicMs() + hedgeRetryMs;
      const recorded = options.onFailure(run.candidate, end.failure);
      failuresRecorded = Promise.all([failuresRecorded, recorded]).then(() => {});
      // A rejection is thrown where the next run waits for it.
      failuresRecorded.catch(() => {});
    }
  } finally {
    stopAllExcept();
  }
};
