import type * as clock from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import type { Rendezvous } from './createRendezvous';
import type { PresenceNews } from './PresenceNews';

/**
 * The roles of this daemon: which fabric domains it controls and watches, and whether it reads the
 * target list.
 */
export interface Duties {
  readonly controls: (fabricDomain: string) => boolean;
  readonly watches: (fabricDomain: string) => boolean;
  /**
   * Returns 0 on the daemon that reads the platform's target list for the fleet, and 1 on its
   * standby.
   */
  readonly listRank: () => number | undefined;
  /** Records one part of a watcher's report on a fabric domain. */
  readonly noteWord: (fabricDomain: string, origin: string, report: PresenceNews) => void;
  /** Whether a report of the domain's primary watcher arrived within the last `withinMs`. */
  readonly hasFirstSpoken: (fabricDomain: string, withinMs: number) => boolean;
  /**
   * Whether a recent report of the domain's primary watcher includes all present groups and leaving
   * instances of `report`.
   */
  readonly isCovered: (fabricDomain: string, report: PresenceNews) => boolean;
  /** Sets the rendezvous hash, which loads asynchronously. Until then this daemon has no roles. */
  readonly setRendezvous: (rendezvous: Rendezvous) => void;
}

interface HeardWord {
  readonly atMs: number;
  readonly report: PresenceNews;
}

/** How many daemons hold each role, so that one of them may fail. */
const chosenCount = 2;
const listDuty = '//list';
/**
 * Shorter than the evidence age at which the secondary watcher starts to probe, so that its first
 * report is published.
 */
const coveredByWordMs = 700;

const joinParts = (one: PresenceNews, other: PresenceNews): PresenceNews => ({
  ...one,
  present: [...one.present, ...other.present],
  leaving: [...one.leaving, ...other.leaving],
});

/** Creates the roles of a daemon, which depend on the live members of the fleet. */
export const createDuties = (
  system: clock.Clock,
  membership: peers.Membership,
  instanceId: string,
): Duties => {
  const heard = new Map<string, HeardWord>();
  let rendezvous: Rendezvous | undefined;

  const choices = new Map<string, readonly string[]>();
  let chosenAmong: readonly peers.PeerMember[] | undefined;

  const choose = (rendezvousOf: Rendezvous, key: string): readonly string[] => {
    const live = chosenAmong!.filter(({ state }) => state === 'live');
    return rendezvousOf(key, live, chosenCount).map((member) => member.instanceId);
  };

  /** Caches the selection until the members change, because selecting compares all members. */
  const chosenFor = (key: string): readonly string[] => {
    if (!rendezvous) return [];
    if (membership.members() !== chosenAmong) choices.clear();
    chosenAmong = membership.members();
    const chosen = choices.get(key) ?? choose(rendezvous, key);
    choices.set(key, chosen);
    return chosen;
  };

  const heardFromFirst = (fabricDomain: string): HeardWord | undefined =>
    heard.get(`${fabricDomain}/${chosenFor(fabricDomain)[0]}`);

  return {
    controls: (fabricDomain) => chosenFor(fabricDomain)[0] === instanceId,
    watches: (fabricDomain) => chosenFor(fabricDomain).includes(instanceId),
    listRank: () => {
      const rank = chosenFor(listDuty).indexOf(instanceId);
      return rank < 0 ? undefined : rank;
    },
    noteWord: (fabricDomain, origin, report) => {
      const key = `${fabricDomain}/${origin}`;
      const known = heard.get(key)?.report;
      const isSameWord = known?.sender === report.sender && known.sentAtMs === report.sentAtMs;
      heard.set(key, {
        atMs: system.monotonicMs(),
        report: isSameWord ? joinParts(known, report) : report,
      });
    },
    hasFirstSpoken: (fabricDomain, withinMs) => {
      const known = heardFromFirst(fabricDomain);
      return known !== undefined && system.monotonicMs() - known.atMs < withinMs;
    },
    isCovered: (fabricDomain, report) => {
      const [first] = chosenFor(fabricDomain);
      const known = heardFromFirst(fabricDomain);
      if (first === instanceId || !known) return false;
      if (system.monotonicMs() - known.atMs >= coveredByWordMs) return false;
      const reportedGroups = new Set(
        known.report.present.map(([id, generation]) => `${id}@${generation}`),
      );
      const reportedLeaving = new Set(known.report.leaving);
      return (
        report.present.every(([id, generation]) => reportedGroups.has(`${id}@${generation}`)) &&
        report.leaving.every((id) => reportedLeaving.has(id))
      );
    },
    setRendezvous: (loaded) => {
      rendezvous = loaded;
    },
  };
};
