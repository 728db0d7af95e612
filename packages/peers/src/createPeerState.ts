import { createByteRateLimiter } from './createByteRateLimiter';
import { encodedSizeBytes } from './createDatagramPort';
import { createGossipQueue, type GossipRows, type GossipSource } from './createGossipQueue';
import { createListeners, type Listeners } from './createListeners';
import { createMemberTable, type MemberTable } from './createMemberTable';
import { createMessageStore, messageId, type MessageStore } from './createMessageStore';
import type { Envelope, ResolvedEnvelope } from './Envelope';
import { toMemberRecord, toMemberRow, type MemberRecord, type MemberRow } from './MemberRecord';
import {
  toMessageRecord,
  toMessageRow,
  type MessageRecord,
  type MessageRow,
} from './MessageRecord';
import type { PeersOptions } from './Peers';

/** The members and messages that a daemon knows, and the datagram payloads that exchange them. */
export interface PeerState {
  readonly table: MemberTable;
  readonly store: MessageStore;
  readonly onMember: Listeners<MemberRecord>;
  readonly onMessage: Listeners<MessageRecord>;
  /** Called when new gossip is pending that should be sent without waiting for the next probe. */
  readonly onPending: Listeners<void>;
  readonly liveOthers: () => readonly MemberRecord[];
  readonly hasPending: () => boolean;
  readonly compose: (
    instanceId: string | undefined,
    sender: Envelope[1],
    beacon: unknown,
  ) => Envelope;
  readonly accept: (envelope: ResolvedEnvelope) => void;
  readonly mergeRows: (rows: {
    readonly members: readonly MemberRow[];
    readonly news: readonly MessageRow[];
  }) => void;
}

/** Limit of the rows in a datagram; the rest is reserved for the envelope. */
const maxRowBytes = 680;
/** Limit of an encoded message, so that it fits into a datagram together with other rows. */
export const maxMessageBytes = 600;
const extraSends = 2;
/** Received timestamps that are further ahead of the wall clock are ignored. */
const maxClockLeadMs = 600_000;

/** Creates the state of a daemon that knows no other members. */
export const createPeerState = (options: PeersOptions, fleet: string): PeerState => {
  const reportError = (cause: unknown) => options.log.error({ err: cause }, 'peer listener failed');
  const onMember = createListeners<MemberRecord>(reportError);
  const onMessage = createListeners<MessageRecord>(reportError);
  const onPending = createListeners<void>(reportError);
  const rateLimiter = createByteRateLimiter(options.clock);
  const nowMs = () => options.clock.monotonicMs();
  let memberCount = 1;
  const sendCount = () => Math.ceil(Math.log(memberCount + 1)) + extraSends;

  const gossipQueue = createGossipQueue();

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
      if (shouldGossip) gossipQueue.addMember(record.instanceId, sendCount());
      onMember.call(record);
      // Only a death is sent at once. Other changes are piggybacked on probes, which bounds the traffic
      // when many members are suspected at the same time.
      if (shouldGossip && record.state === 'dead') onPending.call();
    },
  });

  const store: MessageStore = createMessageStore({
    selfId: options.instanceId,
    firstSequence: Math.max(1, Math.floor(options.clock.wallMs())),
    onMessage: (record) => {
      gossipQueue.addMessage(messageId(record), sendCount());
      if (record.origin !== options.instanceId) onMessage.call(record);
      onPending.call();
    },
  });

  const source: GossipSource = {
    memberRow: (instanceId) => {
      const record = table.find(instanceId);
      return record && toMemberRow(record);
    },
    messageRow: (id, atMs) => {
      const record = store.find(id, atMs);
      return record && toMessageRow(record);
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
    news.forEach((row) => store.merge(toMessageRecord(row), atMs));
  };

  /** Returns the row of a member that is suspect or dead, so that the member itself can refute it. */
  const disputedRows = (instanceId: string | undefined): readonly MemberRow[] => {
    const record = instanceId === undefined ? undefined : table.find(instanceId);
    const inDoubt = record?.state === 'suspect' || record?.state === 'dead';
    return record && inDoubt ? [toMemberRow(record)] : [];
  };

  const takeRows = (): GossipRows => {
    if (gossipQueue.isEmpty()) return { members: [], news: [] };
    const rows = gossipQueue.take(
      source,
      Math.min(maxRowBytes, rateLimiter.availableBytes()),
      nowMs(),
    );
    if (rows.members.length + rows.news.length > 0) {
      rateLimiter.consume(encodedSizeBytes([rows.members, rows.news]));
    }
    return rows;
  };

  return {
    table,
    store,
    onMember,
    onMessage,
    onPending,
    liveOthers,
    hasPending: () => !gossipQueue.isEmpty(),
    compose: (instanceId, sender, beacon) => {
      const time = options.hybridClock.tick();
      const disputed = disputedRows(instanceId);
      const rows = takeRows();
      return [
        fleet,
        sender,
        [time.wallMs, time.counter],
        [...disputed, ...rows.members],
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
