import type * as clocks from '@comfreydrum/clock';

/** The numbers of daemons that this one has heard of lately. */
export interface DaemonCounts {
  readonly sample: () => void;
  /** Returns the highest number; undefined until it has been sampled for a while. */
  readonly highest: () => number | undefined;
}

export interface DaemonCountsOptions {
  readonly clock: clocks.Clock;
  readonly daemonCount: () => number;
}

/** A new lease holder counts the daemons anew and reports too few until all have checked in. */
const retentionMs = 30_000;
/** A daemon that has just started knows no number of its own, only a default. */
const settlingMs = 5_000;

/** Creates the counts of a daemon that starts now. */
export const createDaemonCounts = ({ clock, daemonCount }: DaemonCountsOptions): DaemonCounts => {
  const startedAtMs = clock.monotonicMs();
  let samples: readonly { readonly count: number; readonly atMs: number }[] = [];

  const sample = () => {
    const nowMs = clock.monotonicMs();
    const recent = samples.filter(({ atMs }) => nowMs - atMs < retentionMs);
    samples = [...recent, { count: daemonCount(), atMs: nowMs }];
  };

  return {
    sample,
    highest: () => {
      const nowMs = clock.monotonicMs();
      if (nowMs - startedAtMs < settlingMs) return undefined;
      const lately = samples.filter(({ atMs }) => nowMs - atMs < retentionMs);
      return Math.max(1, daemonCount(), ...lately.map(({ count }) => count));
    },
  };
};
