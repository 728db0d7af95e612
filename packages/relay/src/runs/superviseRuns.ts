import type * as clocks from '@comfreydrum/clock';
import type { Candidate } from '../chooseTarget';
import type { RunAllowance, RunDenial } from './createRunAllowance';

/** The end of one run. */
export type RunResult<Success, Failure> =
  | { readonly kind: 'succeeded'; readonly success: Success }
  | { readonly kind: 'failed'; readonly failure: Failure };

/** What a run tells the supervisor, and how the supervisor stops it. */
export interface RunControl {
  /** Aborts when another run has taken the lead. */
  readonly signal: AbortSignal;
  /** Asks for a hedge since the run has been silent for `silentMs`; it goes on. Returns whether one was started. */
  readonly onSilent: (silentMs: number) => boolean;
  /** Stops all other runs; called before anything of this run reaches the caller. */
  readonly takeLead: () => void;
}

/** Why a run starts. */
export type RunReason = 'first' | 'retry' | 'hedge';

export interface SuperviseOptions<Success, Failure> {
  readonly clock: clocks.Clock;
  readonly allowance: RunAllowance;
  readonly callerDisconnected: AbortSignal;
  /** Runs the request on a target; never rejects. */
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

/** Time after a denied hedge until the next one is asked for. */
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

/**
 * Runs a request until a run succeeds or no further one is allowed. A run is stopped only when another one delivers,
 * so a target that is silent for a while keeps its run unless a hedge is faster.
 */
export const superviseRuns = async <Success, Failure>(
  options: SuperviseOptions<Success, Failure>,
): Promise<SuperviseResult<Success>> => {
  const { clock, allowance, callerDisconnected } = options;
  const running = new Set<Run>();
  const ended = createEndQueue<{ run: Run; result: RunResult<Success, Failure> }>();
  let newest: Run | undefined;
  let nextHedgeAtMs = -Infinity;

  const stopOthers = (leader: Run) =>
    running.forEach((run) => {
      if (run === leader) return;
      running.delete(run);
      run.abort.abort(new Error('another run took the lead'));
    });

  const start = (candidate: Candidate, reason: RunReason) => {
    const run: Run = { candidate, abort: new AbortController() };
    running.add(run);
    newest = run;

    const onSilent = (silentMs: number): boolean => {
      const nowMs = clock.monotonicMs();
      // A hedge of this run may still be faster, and asks for the next one itself.
      if (!running.has(run) || run !== newest || nowMs < nextHedgeAtMs) return false;
      const decision = allowance.hedge(nowMs, silentMs);
      if (decision.kind === 'allowed') start(decision.candidate, 'hedge');
      else nextHedgeAtMs = nowMs + hedgeRetryMs;
      return decision.kind === 'allowed';
    };

    const control: RunControl = {
      signal: run.abort.signal,
      onSilent,
      takeLead: () => {
        if (running.has(run)) stopOthers(run);
      },
    };
    void options.run(candidate, reason, control).then((result) => ended.push({ run, result }));
  };

  for (;;) {
    if (running.size === 0) {
      const decision = allowance.next(clock.monotonicMs());
      if (decision.kind === 'denied') return decision;
      start(decision.candidate, decision.isRetry ? 'retry' : 'first');
    }
    const { run, result } = await ended.next();
    if (callerDisconnected.aborted) return { kind: 'caller-gone' };
    if (!running.has(run)) continue;
    if (result.kind === 'succeeded') {
      stopOthers(run);
      return result;
    }
    running.delete(run);
    newest = [...running].at(-1);
    await options.onFailure(run.candidate, result.failure);
  }
};
