import { encodedSizeBytes } from './createDatagramPort';
import type { MemberRow } from './MemberRecord';
import type { MessageRow } from './MessageRecord';

/** The rows of one datagram; `news` holds the messages. */
export interface GossipRows {
  readonly members: readonly MemberRow[];
  readonly news: readonly MessageRow[];
}

/** A queue of the members and messages to disseminate, from which each datagram takes its rows. */
export interface GossipQueue {
  readonly addMember: (instanceId: string, sendCount: number) => void;
  readonly addMessage: (id: string, sendCount: number) => void;
  /** Returns rows of at most `maxBytes`, those with the most sends left first. */
  readonly take: (source: GossipSource, maxBytes: number, nowMs: number) => GossipRows;
  readonly isEmpty: () => boolean;
}

/** Looks up the current rows; undefined for a record that was removed or has expired. */
export interface GossipSource {
  readonly memberRow: (instanceId: string) => MemberRow | undefined;
  readonly messageRow: (id: string, nowMs: number) => MessageRow | undefined;
}

interface Pending {
  readonly kind: 'member' | 'news';
  readonly id: string;
  sendsLeft: number;
}

const maxRowsPerDatagram = 32;
const maxExaminedCount = 96;

/** Creates an empty queue. */
export const createGossipQueue = (): GossipQueue => {
  const pending = new Map<string, Pending>();

  const add = (kind: Pending['kind'], id: string, sendCount: number) => {
    pending.delete(`${kind} ${id}`);
    pending.set(`${kind} ${id}`, { kind, id, sendsLeft: sendCount });
  };

  /** Returns the most recently added entries, those with the most sends left first. */
  const candidates = () =>
    [...pending]
      .slice(-maxExaminedCount)
      .sort(([, left], [, right]) => right.sendsLeft - left.sendsLeft);

  const countSend = (key: string, entry: Pending) => {
    const sendsLeft = entry.sendsLeft - 1;
    if (sendsLeft > 0) pending.set(key, { ...entry, sendsLeft });
    else pending.delete(key);
  };

  return {
    addMember: (instanceId, sendCount) => add('member', instanceId, sendCount),
    addMessage: (id, sendCount) => add('news', id, sendCount),
    isEmpty: () => pending.size === 0,
    take: (source, maxBytes, nowMs) => {
      const members: MemberRow[] = [];
      const news: MessageRow[] = [];
      let leftBytes = maxBytes;
      for (const [key, entry] of candidates()) {
        if (members.length + news.length >= maxRowsPerDatagram) break;
        const row =
          entry.kind === 'member' ? source.memberRow(entry.id) : source.messageRow(entry.id, nowMs);
        const sizeBytes = row ? encodedSizeBytes(row) : 0;
        if (!row) pending.delete(key);
        if (!row || sizeBytes > leftBytes) continue;
        leftBytes -= sizeBytes;
        if (entry.kind === 'member') members.push(row as MemberRow);
        else news.push(row as MessageRow);
        countSend(key, entry);
      }
      return { members, news };
    },
  };
};
