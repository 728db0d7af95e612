import type * as clock from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import type { RendezvousHash } from './createRendezvousHash';
import type { PresenceReport } from './PresenceReport';

/**
 * The roles of this daemon: which fabric domains it controls and watches, and whether it reads the
 * target list.
 */
export interface DaemonRoles {
  readonly isController: (fabricDomain: string) => boolean;
  readonly isWatcher: (fabricDomain: string) => boolean;
  /**
   * Returns 0 on the daemon that reads the platform's target list for the fleet, and 1 on its
   * standby.
   */
  readonly listReaderRank: () => number | undefined;
  /** Records one part of a watcher's report on a fabric domain. */
  readonly recordReport: (fabricDomain: string, origin: string, report: PresenceReport) => void;
  /** Whether a report of the domain's primary watcher arrived within the last `withinMs`. */
  readonly hasPrimaryReported: (fabricDomain: string, withinMs: number) => boolean;
  /**
   * Whether a recent report of the domain's primary watcher includes all present groups and leaving
   * instances of `report`.
   */
  readonly isCoveredByPrimary: (fabricDomain: string, report: PresenceReport) => boolean;
  /** Sets the rendezvous hash, which loads asynchronously. Until then this daemon has no roles. */
  readonly setRendezvousHash: (rendezvous: RendezvousHash) => void;
}

interface ReceivedReport {
  readonly atMs: number;
  readonly report: PresenceReport;
}

/** How many daemons hold each role, so that one of them may fail. */
const roleHolderCount = 2;
const listReaderKey = '//list';
/**
 * Shorter than the evidence age at which the secondary watcher starts to probe, so that its first
 * report is published.
 */
const coveredByReportMs = 700;

const joinParts = (one: PresenceReport, other: PresenceReport): PresenceReport => ({
  ...one,
  present: [...one.present, ...other.present],
  leaving: [...one.leaving, ...other.leaving],
});

/** Creates the roles of a daemon, which depend on the live members of the fleet. */
export const createDaemonRoles = (
  system: clock.Clock,
  membership: peers.Membership,
  instanceId: string,
): DaemonRoles => {
  const received = new Map<string, ReceivedReport>();
  let rendezvous: RendezvousHash | undefined;

  const selections = new Map<string, readonly string[]>();
  let selectedFrom: readonly peers.PeerMember[] | undefined;

  const select = (rendezvousOf: RendezvousHash, key: string): readonly string[] => {
    const live = selectedFrom!.filter(({ state }) => state === 'live');
    return rendezvousOf(key, live, roleHolderCount).map((member) => member.instanceId);
  };

  /** Caches the selection until the members change, because selecting compares all members. */
  const holdersOf = (key: string): readonly string[] => {
    if (!rendezvous) return [];
    if (membership.members() !== selectedFrom) selections.clear();
    selectedFrom = membership.members();
    const chosen = selections.get(key) ?? select(rendezvous, key);
    selections.set(key, chosen);
    return chosen;
  };

  const latestFromPrimary = (fabricDomain: string): ReceivedReport | undefined =>
    received.get(`${fabricDomain}/${holdersOf(fabricDomain)[0]}`);

  return {
    isController: (fabricDomain) => holdersOf(fabricDomain)[0] === instanceId,
    isWatcher: (fabricDomain) => holdersOf(fabricDomain).includes(instanceId),
    listReaderRank: () => {
      const rank = holdersOf(listReaderKey).indexOf(instanceId);
      return rank < 0 ? undefined : rank;
    },
    recordReport: (fabricDomain, origin, report) => {
      const key = `${fabricDomain}/${origin}`;
      const known = received.get(key)?.report;
      const isSameReport = known?.sender === report.sender && known.sentAtMs === report.sentAtMs;
      received.set(key, {
        atMs: system.monotonicMs(),
        report: isSameReport ? joinParts(known, report) : report,
      });
    },
    hasPrimaryReported: (fabricDomain, withinMs) => {
      const known = latestFromPrimary(fabricDomain);
      return known !== undefined && system.monotonicMs() - known.atMs < withinMs;
    },
    isCoveredByPrimary: (fabricDomain, report) => {
      const [first] = holdersOf(fabricDomain);
      const known = latestFromPrimary(fabricDomain);
      if (first === instanceId || !known) return false;
      if (system.monotonicMs() - known.atMs >= coveredByReportMs) return false;
      const reportedGroups = new Set(
        known.report.present.map(([id, generation]) => `${id}@${generation}`),
      );
      const reportedLeaving = new Set(known.report.leaving);
      return (
        report.present.every(([id, generation]) => reportedGroups.has(`${id}@${generation}`)) &&
        report.leaving.every((id) => reportedLeaving.has(id))
      );
    },
    setRendezvousHash: (loaded) => {
      rendezvous = loaded;
    },
  };
};
