import type * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';

/** Knows which runs of targets have started so lately that they are still slow. */
export interface WarmUps {
  /** Returns the part of the warm-up that is left, from 1 at the start of a run to 0. */
  readonly remainingOf: (targetKey: string) => number;
}

export interface WarmUpOptions {
  readonly clock: clocks.Clock;
  readonly targets: Pick<fleet.TargetList, 'all' | 'version' | 'isLoaded'>;
  /** Whether this daemon has received requests; targets that start before are not in a hurry. */
  readonly hasTraffic: () => boolean;
  /** Called before the first choice after the warm-up of a run. */
  readonly onEnd: (targetKey: string) => void;
}

/** A target that has just started is slow for some seconds. */
const warmUpMs = 5_000;
/** A run that was unlisted for less, such as during an outage of the store, has not started again. */
const retentionMs = 60_000;

/** Creates the knowledge of a daemon that has not read the list of targets yet. */
export const createWarmUps = (options: WarmUpOptions): WarmUps => {
  const { clock, targets } = options;
  /** The listed runs; undefined before the list was read. */
  let listed: ReadonlySet<string> | undefined;
  /** When each run was first missing from the list. */
  const unlistedAtMs = new Map<string, number>();
  let readVersion: number | undefined;
  const untilMs = new Map<string, number>();

  const readList = () => {
    if (readVersion === targets.version() || !targets.isLoaded()) return;
    readVersion = targets.version();
    const nowMs = clock.monotonicMs();
    const previous = listed;
    const current = new Set([...targets.all().values()].map(fleet.runKeyOf));
    listed = current;
    previous?.forEach((key) => {
      if (current.has(key)) return;
      unlistedAtMs.set(key, nowMs);
      untilMs.delete(key);
    });
    unlistedAtMs.forEach((atMs, key) => {
      if (nowMs - atMs >= retentionMs) unlistedAtMs.delete(key);
    });
    const appeared = [...current].filter((key) => !previous?.has(key) && !unlistedAtMs.delete(key));
    // All targets are new to a daemon that has just started.
    if (previous === undefined || !options.hasTraffic()) return;
    appeared.forEach((key) => untilMs.set(key, nowMs + warmUpMs));
  };

  return {
    remainingOf: (targetKey) => {
      readList();
      const endMs = untilMs.get(targetKey);
      if (endMs === undefined) return 0;
      const remainingMs = endMs - clock.monotonicMs();
      if (remainingMs > 0) return remainingMs / warmUpMs;
      untilMs.delete(targetKey);
      options.onEnd(targetKey);
      return 0;
    },
  };
};
