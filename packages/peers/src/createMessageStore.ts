import type { BusMessage, MessageTopic } from './MessageBus';
import type { MessageRecord } from './MessageRecord';

/** The messages that this daemon holds; all times are monotonic. */
export interface MessageStore {
  /** Stores a message of this daemon under the next sequence number. */
  readonly publish: (
    topic: MessageTopic,
    key: string,
    value: unknown,
    lifetimeMs: number,
    nowMs: number,
  ) => void;
  /** Merges a received message; returns whether it is a new one of another daemon. */
  readonly merge: (record: MessageRecord, nowMs: number) => boolean;
  readonly latest: (topic: MessageTopic, nowMs: number) => readonly BusMessage[];
  /** Returns every unexpired message. */
  readonly records: (nowMs: number) => readonly MessageRecord[];
  /** Returns the message with an id, unless it has expired. */
  readonly find: (id: string, nowMs: number) => MessageRecord | undefined;
  /** Removes messages that expired more than 30 seconds ago. */
  readonly sweep: (nowMs: number) => void;
}

/** Options of `createMessageStore`. */
export interface MessageStoreOptions {
  readonly selfId: string;
  /** The lowest sequence number to assign; normally higher after a restart of the process. */
  readonly firstSequence: number;
  /** Called with each new message, including those of this daemon. */
  readonly onMessage: (record: MessageRecord) => void;
}

interface Entry extends Omit<MessageRecord, 'remainingMs'> {
  readonly expiresAtMs: number;
}

const maxEntryCount = 65_536;
const maxLifetimeMs = 24 * 3_600_000;
/** Expired messages are kept this long, so that a delayed copy is not mistaken for a new message. */
const expiredRetentionMs = 30_000;

/** Returns the key of a message that is unique across topics and origins. */
export const messageId = ({
  topic,
  key,
  origin,
}: Pick<MessageRecord, 'topic' | 'key' | 'origin'>): string => `${topic}|${origin}|${key}`;

/** Creates an empty store. */
export const createMessageStore = (options: MessageStoreOptions): MessageStore => {
  const entries = new Map<string, Entry>();
  let lowestSequence = options.firstSequence;

  const toRecord = ({ expiresAtMs, ...entry }: Entry, nowMs: number): MessageRecord => ({
    ...entry,
    remainingMs: expiresAtMs - nowMs,
  });

  const unexpired = (nowMs: number) =>
    [...entries.values()].filter(({ expiresAtMs }) => expiresAtMs > nowMs);

  const store = (record: MessageRecord, nowMs: number) => {
    const { remainingMs, ...rest } = record;
    const expiresAtMs = nowMs + Math.min(remainingMs, maxLifetimeMs);
    entries.set(messageId(record), { ...rest, expiresAtMs });
    options.onMessage(record);
  };

  const nextSequence = (id: string) =>
    Math.max(lowestSequence, (entries.get(id)?.sequence ?? 0) + 1);

  /**
   * Raises the sequence numbers above one assigned by an earlier run of this process, and stores the
   * current message again under a higher one.
   */
  const raiseSequence = (record: MessageRecord, known: Entry | undefined, nowMs: number) => {
    lowestSequence = Math.max(lowestSequence, record.sequence + 1);
    if (!known || known.expiresAtMs <= nowMs) return;
    store({ ...toRecord(known, nowMs), sequence: lowestSequence }, nowMs);
  };

  return {
    publish: (topic, key, value, lifetimeMs, nowMs) => {
      const origin = options.selfId;
      const sequence = nextSequence(messageId({ topic, key, origin }));
      store({ topic, key, origin, sequence, value, remainingMs: lifetimeMs }, nowMs);
    },
    merge: (record, nowMs) => {
      const id = messageId(record);
      const known = entries.get(id);
      if (known && known.sequence >= record.sequence) return false;
      if (record.origin === options.selfId) {
        raiseSequence(record, known, nowMs);
        return false;
      }
      if (!known && entries.size >= maxEntryCount) return false;
      store(record, nowMs);
      return true;
    },
    latest: (topic, nowMs) =>
      unexpired(nowMs)
        .filter((entry) => entry.topic === topic)
        .map((entry) => toRecord(entry, nowMs)),
    records: (nowMs) => unexpired(nowMs).map((entry) => toRecord(entry, nowMs)),
    find: (id, nowMs) => {
      const entry = entries.get(id);
      return entry && entry.expiresAtMs > nowMs ? toRecord(entry, nowMs) : undefined;
    },
    sweep: (nowMs) =>
      entries.forEach((entry, id) => {
        if (entry.expiresAtMs + expiredRetentionMs <= nowMs) entries.delete(id);
      }),
  };
};
