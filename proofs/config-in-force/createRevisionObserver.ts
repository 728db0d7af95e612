import * as testing from '@comfreydrum/testing';

/** Polls the configuration revision in force on each daemon. */
export interface RevisionObserver {
  /**
   * Waits until every given daemon holds at least `revision`, and returns how long that took in
   * milliseconds.
   */
  readonly waitUntilInForce: (
    revision: number,
    daemons: readonly testing.FleetDaemon[],
  ) => Promise<number>;
  /**
   * Returns the latest revision that a daemon reported; 0 before the first and while the daemon is
   * unreachable.
   */
  readonly latest: (daemon: testing.FleetDaemon) => number;
  /** Returns every revision that any daemon has reported. */
  readonly reportedRevisions: () => ReadonlySet<number>;
  readonly stop: () => Promise<void>;
}

const pollIntervalMs = 25;
const inForceTimeoutMs = 7_000;

/**
 * Starts polling. Calls `recordViolation` when a daemon reverts to an older revision or adopts one
 * too late.
 */
export const createRevisionObserver = (
  team: string,
  daemons: readonly testing.FleetDaemon[],
  recordViolation: (text: string) => void,
): RevisionObserver => {
  const highest = new Map<string, number>();
  const current = new Map<string, number>();
  const reportedRevisions = new Set<number>();
  let stopped = false;

  const read = async (daemon: testing.FleetDaemon) => {
    const revisions = (await daemon.read('v1/configurations')) as Record<string, number>;
    const revision = revisions[team] ?? 0;
    const { instanceId } = daemon;
    current.set(instanceId, revision);
    if (revision === 0) return;
    reportedRevisions.add(revision);
    const before = highest.get(instanceId) ?? 0;
    if (revision < before) {
      recordViolation(`${instanceId} reverted from revision ${before} to ${revision}`);
    }
    highest.set(instanceId, Math.max(before, revision));
  };

  const poll = async (daemon: testing.FleetDaemon) => {
    while (!stopped) {
      await read(daemon).catch(() => current.set(daemon.instanceId, 0));
      await new Promise((resolve) => {
        setTimeout(resolve, pollIntervalMs);
      });
    }
  };
  const polls = daemons.map(poll);
  const latest = ({ instanceId }: testing.FleetDaemon) => current.get(instanceId) ?? 0;

  return {
    latest,
    reportedRevisions: () => reportedRevisions,
    waitUntilInForce: async (revision, among) => {
      const startMs = performance.now();
      const isInForce = () => among.every((daemon) => latest(daemon) >= revision);
      await testing
        .waitUntil(isInForce, inForceTimeoutMs, `revision ${revision} to be in force`)
        .catch(() => {
          const late = among.filter((daemon) => latest(daemon) < revision);
          const names = late.map(({ instanceId }) => instanceId).join(', ');
          recordViolation(`revision ${revision} was not in force within 7 s on ${names}`);
        });
      return performance.now() - startMs;
    },
    stop: async () => {
      stopped = true;
      await Promise.all(polls);
    },
  };
};
