import { createByteAllowance } from './createByteAllowance';
import { encodedSizeBytes } from './createDatagramPort';
import { createGossip, type GossipRows, type GossipSource } from './createGossip';
import { createListeners, type Listeners } from './createListeners';
import { createMemberTable, type MemberTable } from './createMemberTable';
import { createNewsStore, newsId, type NewsStore } from './createNewsStore';
import type { Envelope, KnownEnvelope } from './Envelope';
import { toMemberRecord, toMemberRow, type MemberRecord, type MemberRow } from './MemberRecord';
import { toNewsRecord, toNewsRow, type NewsRecord, type NewsRow } from './NewsRecord';
import type { PeersOptions } from './Peers';

/** The members and messages that a daemon knows, and the datagram payloads that exchange them. */
export interface PeerState {
  readonly table: MemberTable;
  readonly store: NewsStore;
  readonly onMember: Listeners<MemberRecord>;
  readonly onNews: Listeners<NewsRecord>;
  /** Called when new gossip is pending that should be sent without waiting for the next probe. */
  readonly onPending: Listeners<void>;
  readonly liveOthers: () => readonly MemberRecord[];
  readonly hasPending: () => boolean;
  readonly compose: (
    instanceId: string | undefined,
    sender: Envelope[1],
    beacon: unknown,
  ) => Envelope;
  readonly accept: (envelope: KnownEnvelope) => void;
  readonly mergeRows: (rows: {
    readonly members: readonly MemberRow[];
    readonly news: readonly NewsRow[];
  }) => void;
}

/** Limit of the rows in a datagram; the rest is reserved for the envelope. */
const maxRowsBytes = 680;
/** Limit of an encoded message, so that it fits into a datagram together with other rows. */
export const maxNewsBytes = 600;
const extraSends = 2;
/** Received timestamps that are further ahead of the wall clock are ignored. */
const maxClockLeadMs = 600_000;

/** Creates the state of a daemon that knows no other members. */
export const createPeerState = (options: PeersOptions, fleet: string): PeerState => {
  const reportError = (cause: unknown) => options.log.error({ err: cause }, 'peer listener failed');
  const onMember = createListeners<MemberRecord>(reportError);
  const onMessage = createListeners<NewsRecord>(reportError);
  const onPending = createListeners<void>(reportError);
  const allowance = createByteAllowance(options.clock);
  const nowMs = () => options.clock.monotonicMs();
  let memberCount = 1;
  const sendCount = () => Math.ceil(Math.log(memberCount + 1)) + extraSends;

  const gossip = createGossip();

  const table: MemberTable = createMemberTable({
    self: {
      instanceId: options.instanceId,
      address: options.settings.advertise ?? options.settings.listen,
      region: options.region,
      failureDomain: options.failureDomain,
    },
    suspicionMs: options.settings.suspicionMs,
    wallMs: Math.max(0, options.clock.wallMs()),
    onChange: (record, shouldGossip) => {
      if (shouldGossip) gossip.addMember(record.instanceId, sendCount());
      onMember.call(record);
      // Only a death is sent at once. Other changes are piggybacked on probes, which bounds the traffic
      // when many members are suspected at the same time.
      if (shouldGossip && record.state === 'dead') onPending.call();
    },
  });

  const store: NewsStore = createNewsStore({
    selfId: options.instanceId,
    firstSequence: Math.max(1, Math.floor(options.clock.wallMs())),
    onNews: (record) => {
      gossip.addNews(newsId(record), sendCount());
      if (record.origin !== options.instanceId) onMessage.call(record);
      onPending.call();
    },
  });

  const source: GossipSource = {
    memberRow: (instanceId) => {
      const record = table.find(instanceId);
      return record && toMemberRow(record);
    },
    newsRow: (id, atMs) => {
      const record = store.find(id, atMs);
      return record && toNewsRow(record);
    },
  };

  const liveOthers = () => {
    const others = table
      .records()
      .filter(({ instanceId, state }) => instanceId !== options.instanceId && state !== 'dead');
    memberCount = others.length + 1;
    return others;
  };

  const mergeRows: PeerState['mergeRows'] = ({ members, news }) => {
    const atMs = nowMs();
    members.forEach((row) => table.merge(toMemberRecord(row), atMs));
    news.forEach((row) => store.merge(toNewsRecord(row), atMs));
  };

  /** Returns the row of a member that is suspect or dead, so that the member itself can refute it. */
  const doubtRows = (instanceId: string | undefined): readonly MemberRow[] => {
    const record = instanceId === undefined ? undefined : table.find(instanceId);
    const inDoubt = record?.state === 'suspect' || record?.state === 'dead';
    return record && inDoubt ? [toMemberRow(record)] : [];
  };

  const takeRows = (): GossipRows => {
    if (gossip.isEmpty()) return { members: [], news: [] };
    const rows = gossip.take(source, Math.min(maxRowsBytes, allowance.leftBytes()), nowMs());
    if (rows.members.length + rows.news.length > 0) {
      allowance.spend(encodedSizeBytes([rows.members, rows.news]));
    }
    return rows;
  };

  return {
    table,
    store,
    onMember,
    onNews: onMessage,
    onPending,
    liveOthers,
    hasPending: () => !gossip.isEmpty(),
    compose: (instanceId, sender, beacon) => {
      const time = options.hybridClock.tick();
      const doubts = doubtRows(instanceId);
      const rows = takeRows();
      return [
        fleet,
        sender,
        [time.wallMs, time.counter],
        [...doubts, ...rows.members],
        [...rows.news],
        beacon,
      ];
    },
    accept: ([, senderRow, [wallMs, counter], members, news]) => {
      if (wallMs < options.clock.wallMs() + maxClockLeadMs) {
        options.hybridClock.receive({ wallMs, counter });
      }
      const sender = toMemberRecord(senderRow);
      table.merge(sender, nowMs());
      // A member recorded as dead must refute that first; until then its records of other members and
      // its messages may be out of date.
      if (table.find(sender.instanceId)?.state === 'dead') {
        members
          .filter(([instanceId]) => instanceId === options.instanceId)
          .forEach((row) => table.merge(toMemberRecord(row), nowMs()));
        return;
      }
      mergeRows({ members, news });
    },
    mergeRows,
  };
};
