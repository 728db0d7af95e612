import type * as clock from '@comfreydrum/clock';
import type { Load, TeamLoads } from './orderLoads';

/** The order in which the planned groups of each team load from its weight store. */
export interface LoadQueue {
  /**
   * Returns the planned groups of a team that may load next: those for which the rate of the store
   * suffices, after the groups that load already and those earlier in the queue.
   */
  readonly nextLoads: (
    team: string,
    loads: TeamLoads,
    storeBytesPerSecond: number,
  ) => readonly Load[];
}

/** How long a group that may load, but doesn't start, reserves its rate ahead of later groups. */
const reservationTimeoutMs = 10_000;

/** Tolerated relative rounding error of a sum of rates. */
const roundingTolerance = 1e-9;

/** Returns the total rate of the loads, in bytes per second. */
export const sumBytesPerSecond = (loads: readonly Pick<Load, 'bytesPerSecond'>[]): number =>
  loads.reduce((sum, { bytesPerSecond }) => sum + bytesPerSecond, 0);

/**
 * Reports whether the rate of the store suffices for a load besides those that use
 * `usedBytesPerSecond`; a load that runs alone is always allowed.
 */
export const fitsStoreRate = (
  load: Load,
  usedBytesPerSecond: number,
  storeBytesPerSecond: number,
): boolean =>
  usedBytesPerSecond === 0 ||
  usedBytesPerSecond + load.bytesPerSecond <= storeBytesPerSecond * (1 + roundingTolerance);

const loadKey = ({ groupId, generation }: Load) => `${groupId}@${generation}`;

/** Creates the load queues of all teams, as derived from the records known to this daemon. */
export const createLoadQueue = (system: clock.Clock): LoadQueue => {
  /** When each group was first allowed to load, by team and load key. */
  const eligibleSinceMs = new Map<string, ReadonlyMap<string, number>>();

  return {
    nextLoads: (team, { loading, planned }, storeBytesPerSecond) => {
      const nowMs = system.monotonicMs();
      const previous = eligibleSinceMs.get(team);
      const since = new Map<string, number>();
      const eligible: Load[] = [];
      let reservedBytesPerSecond = sumBytesPerSecond(loading);
      for (const load of planned) {
        if (!fitsStoreRate(load, reservedBytesPerSecond, storeBytesPerSecond)) break;
        const sinceMs = previous?.get(loadKey(load)) ?? nowMs;
        since.set(loadKey(load), sinceMs);
        eligible.push(load);
        if (nowMs - sinceMs < reservationTimeoutMs) reservedBytesPerSecond += load.bytesPerSecond;
      }
      eligibleSinceMs.set(team, since);
      return eligible;
    },
  };
};
