import type { NewsItem, NewsTopic } from './News';
import type { NewsRecord } from './NewsRecord';

/** The messages that this daemon holds; all times are monotonic. */
export interface NewsStore {
  /** Stores a message of this daemon under the next sequence number. */
  readonly publish: (
    topic: NewsTopic,
    key: string,
    value: unknown,
    lifetimeMs: number,
    nowMs: number,
  ) => void;
  /** Merges a received message; returns whether it is a new one of another daemon. */
  readonly merge: (record: NewsRecord, nowMs: number) => boolean;
  readonly latest: (topic: NewsTopic, nowMs: number) => readonly NewsItem[];
  /** Returns every unexpired message. */
  readonly records: (nowMs: number) => readonly NewsRecord[];
  /** Returns the message with an id, unless it has expired. */
  readonly find: (id: string, nowMs: number) => NewsRecord | undefined;
  /** Removes messages that expired more than 30 seconds ago. */
  readonly sweep: (nowMs: number) => void;
}

/** Options of `createMessageStore`. */
export interface NewsStoreOptions {
  readonly selfId: string;
  /** The lowest sequence number to assign; normally higher after a restart of the process. */
  readonly firstSequence: number;
  /** Called with each new message, including those of this daemon. */
  readonly onNews: (record: NewsRecord) => void;
}

interface Entry extends Omit<NewsRecord, 'remainingMs'> {
  readonly expiresAtMs: number;
}

const maxEntryCount = 65_536;
const maxLifetimeMs = 24 * 3_600_000;
/** Expired messages are kept this long, so that a delayed copy is not mistaken for a new message. */
const endedMemoryMs = 30_000;

/** Returns the key of a message that is unique across topics and origins. */
export const newsId = ({
  topic,
  key,
  origin,
}: Pick<NewsRecord, 'topic' | 'key' | 'origin'>): string => `${topic}|${origin}|${key}`;

/** Creates an empty store. */
export const createNewsStore = (options: NewsStoreOptions): NewsStore => {
  const entries = new Map<string, Entry>();
  let lowestSequence = options.firstSequence;

  const toRecord = ({ expiresAtMs, ...entry }: Entry, nowMs: number): NewsRecord => ({
    ...entry,
    remainingMs: expiresAtMs - nowMs,
  });

  const standing = (nowMs: number) =>
    [...entries.values()].filter(({ expiresAtMs }) => expiresAtMs > nowMs);

  const store = (record: NewsRecord, nowMs: number) => {
    const { remainingMs, ...rest } = record;
    const expiresAtMs = nowMs + Math.min(remainingMs, maxLifetimeMs);
    entries.set(newsId(record), { ...rest, expiresAtMs });
    options.onNews(record);
  };

  const nextSequence = (id: string) =>
    Math.max(lowestSequence, (entries.get(id)?.sequence ?? 0) + 1);

  /**
   * Raises the sequence numbers above one assigned by an earlier run of this process, and stores the
   * current message again under a higher one.
   */
  const outbid = (record: NewsRecord, known: Entry | undefined, nowMs: number) => {
    lowestSequence = Math.max(lowestSequence, record.sequence + 1);
    if (!known || known.expiresAtMs <= nowMs) return;
    store({ ...toRecord(known, nowMs), sequence: lowestSequence }, nowMs);
  };

  return {
    publish: (topic, key, value, lifetimeMs, nowMs) => {
      const origin = options.selfId;
      const sequence = nextSequence(newsId({ topic, key, origin }));
      store({ topic, key, origin, sequence, value, remainingMs: lifetimeMs }, nowMs);
    },
    merge: (record, nowMs) => {
      const id = newsId(record);
      const known = entries.get(id);
      if (known && known.sequence >= record.sequence) return false;
      if (record.origin === options.selfId) {
        outbid(record, known, nowMs);
        return false;
      }
      if (!known && entries.size >= maxEntryCount) return false;
      store(record, nowMs);
      return true;
    },
    latest: (topic, nowMs) =>
      standing(nowMs)
        .filter((entry) => entry.topic === topic)
        .map((entry) => toRecord(entry, nowMs)),
    records: (nowMs) => standing(nowMs).map((entry) => toRecord(entry, nowMs)),
    find: (id, nowMs) => {
      const entry = entries.get(id);
      return entry && entry.expiresAtMs > nowMs ? toRecord(entry, nowMs) : undefined;
    },
    sweep: (nowMs) =>
      entries.forEach((entry, id) => {
        if (entry.expiresAtMs + endedMemoryMs <= nowMs) entries.delete(id);
      }),
  };
};
