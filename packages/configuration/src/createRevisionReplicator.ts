import type * as clock from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import type { FreshnessTracker } from './createFreshnessTracker';
import { fetchParamsSchema, parseFetchResponse, createFetchResponse } from './revisionFetch';
import type { RevisionTable } from './createRevisionTable';
import {
  beaconSchema,
  revisionAnnouncementSchema,
  revisionSummarySchema,
  type TeamRevision,
} from './TeamRevision';

/** Replicates revisions between this instance and its peers. */
export interface RevisionReplicator {
  readonly start: () => void;
  readonly stop: () => void;
  /** Announces a revision to the peers, unless the same or a later revision of the team is already announced. */
  readonly announce: (revision: TeamRevision) => void;
  /** Returns the send time of the latest probe to which a peer responded with the same digest. */
  readonly lastAgreementAtMs: () => number | undefined;
}

/** The dependencies of a revision replicator. */
export interface RevisionReplicatorOptions {
  readonly table: RevisionTable;
  readonly freshnessTracker: FreshnessTracker;
  readonly membership: peers.Membership;
  readonly messageBus: peers.MessageBus;
  readonly calls: peers.PeerCalls;
  readonly beacon: peers.Beacon;
  readonly clock: clock.Clock;
  readonly hash: (text: string) => string;
  readonly sleep: (durationMs: number) => Promise<void>;
  /** Merges a revision received from a peer. */
  readonly merge: (revision: TeamRevision) => void;
  /** Reads the revision of a team from the platform, used when no peer supplied it. */
  readonly readPlatform: (team: string) => Promise<void>;
}

const fetchMethod = 'configuration.fetch';
const summaryMethod = 'configuration.summary';
const announcementLifetimeMs = 60_000;
const callTimeoutMs = 1_500;
/**
 * How long this instance delays its response to a fetch while it lacks the revision. An instance fetches
 * from another one first (see `fetchOrder`), which may not have received the revision yet.
 */
const parentWaitMs = 700;
const pollIntervalMs = 20;
const treeFanout = 8;

/**
 * Returns the instances to fetch a revision from, in order: this instance's parent in a tree rooted at the
 * instance that announced the revision, then the announcing instance itself.
 */
const fetchOrder = (
  selfId: string,
  originId: string,
  instanceIds: readonly string[],
  rank: (instanceId: string) => string,
): readonly string[] => {
  const others = instanceIds
    .filter((instanceId) => instanceId !== originId)
    .map((instanceId) => ({ instanceId, rank: rank(instanceId) }))
    .sort((left, right) => (left.rank < right.rank ? -1 : 1))
    .map(({ instanceId }) => instanceId);
  const order = [originId, ...others];
  const index = order.indexOf(selfId);
  const parent = order[Math.floor((index - 1) / treeFanout)];
  return parent === undefined || parent === originId ? [originId] : [parent, originId];
};

/** Creates the replicator of one instance and registers its peer call methods. */
export const createRevisionReplicator = (
  options: RevisionReplicatorOptions,
): RevisionReplicator => {
  const { table, membership, calls, freshnessTracker } = options;
  const nowMs = () => options.clock.monotonicMs();
  const unsubscribers: (() => void)[] = [];
  const fetching = new Set<string>();
  let lastAgreementAtMs: number | undefined;
  let isCatchingUp = false;

  const hasRevision = (team: string, revision: number) =>
    (table.find(team)?.revision ?? 0) >= revision;

  calls.handle(summaryMethod, async () =>
    table.all().map(({ team, revision, digest }) => [team, revision, digest]),
  );
  calls.handle(fetchMethod, async (params) => {
    const { team, revision, basisDigest } = fetchParamsSchema.parse(params);
    const endMs = nowMs() + parentWaitMs;
    while (!hasRevision(team, revision) && nowMs() < endMs) await options.sleep(pollIntervalMs);
    const found = table.find(team);
    if (!found || !hasRevision(team, revision))
      throw new Error(`team "${team}" has no such revision`);
    return createFetchResponse(table, found, basisDigest);
  });

  const fetchFrom = async (address: string, team: string, revision: number) => {
    const basis = table.find(team);
    const params = { team, revision, basisDigest: basis?.digest };
    const answer = await calls.call(address, fetchMethod, params, callTimeoutMs);
    const fetched = answer.ok ? parseFetchResponse(answer.value, basis) : undefined;
    if (fetched) options.merge(fetched);
  };

  const fetchRevision = async (
    team: string,
    revision: number,
    instanceIds: readonly string[],
  ): Promise<void> => {
    const key = `${team} ${revision}`;
    if (fetching.has(key)) return;
    fetching.add(key);
    try {
      const members = membership.members();
      for (const instanceId of instanceIds) {
        const member = members.find((candidate) => candidate.instanceId === instanceId);
        if (!hasRevision(team, revision) && member) await fetchFrom(member.address, team, revision);
      }
      if (!hasRevision(team, revision)) await options.readPlatform(team);
    } finally {
      fetching.delete(key);
    }
  };

  const handleAnnouncement = ({ key: team, origin, value }: peers.BusMessage) => {
    const checked = revisionAnnouncementSchema.safeParse(value);
    if (!checked.success || hasRevision(team, checked.data[0])) return;
    const [revision] = checked.data;
    const order = fetchOrder(
      membership.self().instanceId,
      origin,
      membership.members().map(({ instanceId }) => instanceId),
      (instanceId) => options.hash(`${team} ${revision} ${instanceId}`),
    );
    void fetchRevision(team, revision, order);
  };

  /** Fetches from a peer every revision that is newer there. */
  const catchUp = async ({ address, instanceId }: peers.ReceivedBeacon) => {
    if (isCatchingUp) return;
    isCatchingUp = true;
    try {
      const answer = await calls.call(address, summaryMethod, null, callTimeoutMs);
      const checked = answer.ok ? revisionSummarySchema.safeParse(answer.value) : undefined;
      const newer = (checked?.data ?? []).filter(
        ([team, revision]) => !hasRevision(team, revision),
      );
      for (const [team, revision] of newer) await fetchRevision(team, revision, [instanceId]);
    } finally {
      isCatchingUp = false;
    }
  };

  const handleBeacon = (received: peers.ReceivedBeacon) => {
    const checked = beaconSchema.safeParse(received.value);
    if (!checked.success) return;
    const [digest, ageMs, version] = checked.data;
    if (digest !== table.digest()) {
      void catchUp(received);
      return;
    }
    lastAgreementAtMs = Math.max(
      lastAgreementAtMs ?? received.probeSentAtMs,
      received.probeSentAtMs,
    );
    if (ageMs === null || version === null) return;
    freshnessTracker.confirmByPlatform({ atMs: received.probeSentAtMs - ageMs, version });
  };

  const createBeaconValue = () => {
    const confirmation = freshnessTracker.platformConfirmation();
    if (confirmation === undefined) return [table.digest(), null, null];
    return [
      table.digest(),
      Math.max(0, Math.ceil(nowMs() - confirmation.atMs)),
      confirmation.version,
    ];
  };

  const isAnnounced = (team: string, revision: number) =>
    options.messageBus.latest('revision').some(({ key, value }) => {
      const checked = revisionAnnouncementSchema.safeParse(value);
      return key === team && checked.success && checked.data[0] >= revision;
    });

  return {
    start: () => {
      options.beacon.setProvider(createBeaconValue);
      unsubscribers.push(
        options.messageBus.onMessage('revision', handleAnnouncement),
        options.beacon.onBeacon(handleBeacon),
      );
    },
    stop: () => unsubscribers.splice(0).forEach((end) => end()),
    announce: ({ team, revision, digest }) => {
      if (isAnnounced(team, revision)) return;
      options.messageBus.publish('revision', team, [revision, digest], announcementLifetimeMs);
    },
    lastAgreementAtMs: () => lastAgreementAtMs,
  };
};
