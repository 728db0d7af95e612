import type * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';

/**
 * Tracks targets that were ordered to leave a group whose head nobody reaches. Such a head may go on serving until its
 * group has stood still for the stall time, so its former members must not join another group before that.
 */
export interface ReleaseTracker {
  /** Records the listed targets; called at each step, also by daemons that are not the controller. */
  readonly observe: (targets: Iterable<fleet.Target>) => void;
  /** Reports whether the head of the last group of a target may still serve. */
  readonly isHeld: (target: fleet.Target) => boolean;
}

/** Dependencies of the tracker. */
export interface ReleaseTrackerOptions {
  readonly clock: clocks.Clock;
  /** Time after which a head breaks that lacks a member. */
  readonly stallMs: number;
  /** Reports whether the process of the head of a group is known to have ended. */
  readonly hasHeadEnded: (groupKey: string) => boolean;
}

interface Release {
  /** Undefined for a target that had left before this daemon listed it. */
  readonly groupKey: string | undefined;
  readonly atMs: number;
}

/** A member may have left this long before the list shows it, or after its head noticed. */
const marginMs = 300;

/** Creates a tracker that knows no targets. */
export const createReleaseTracker = (options: ReleaseTrackerOptions): ReleaseTracker => {
  const { clock, stallMs, hasHeadEnded } = options;
  const memberships = new Map<string, fleet.GroupMembership | undefined>();
  const releases = new Map<string, Release>();

  const release = (key: string, groupKey: string | undefined) =>
    releases.set(key, { groupKey, atMs: clock.monotonicMs() });

  const observeTarget = (key: string, { membership, loadedModels }: fleet.Target) => {
    const before = memberships.get(key);
    const isNew = !memberships.has(key);
    memberships.set(key, membership);
    if (membership !== undefined) {
      releases.delete(key);
      return;
    }
    // A target without weights in memory has been in no group since its start.
    if (isNew && loadedModels.length > 0) release(key, undefined);
    if (before !== undefined && before.rank > 0) release(key, fleet.groupKeyOf(before));
  };

  return {
    observe: (targets) => {
      const nowMs = clock.monotonicMs();
      const listedKeys = new Set<string>();
      for (const target of targets) {
        const key = fleet.runKeyOf(target);
        listedKeys.add(key);
        observeTarget(key, target);
      }
      memberships.forEach((_, key) => {
        const isReleasing = nowMs - (releases.get(key)?.atMs ?? -Infinity) < stallMs + marginMs;
        if (listedKeys.has(key) || isReleasing) return;
        memberships.delete(key);
        releases.delete(key);
      });
    },
    isHeld: (target) => {
      const found = releases.get(fleet.runKeyOf(target));
      if (found === undefined) return false;
      if (found.groupKey !== undefined && hasHeadEnded(found.groupKey)) return false;
      return clock.monotonicMs() - found.atMs < stallMs + marginMs;
    },
  };
};
