import type * as xxhash from 'xxhash-wasm';
import * as zod from 'zod';
import type { MemberTable } from './createMemberTable';
import { messageId, type MessageStore } from './createMessageStore';
import { memberRowSchema, toMemberRow, type MemberRow } from './MemberRecord';
import { messageRowSchema, toMessageRow, type MessageRow } from './MessageRecord';

/** The contents of some buckets; `news` holds their messages. */
export interface BucketRows {
  readonly members: readonly MemberRow[];
  readonly news: readonly MessageRow[];
}

/**
 * Digests of the members and messages that this daemon holds, for comparison with another daemon.
 * Records are assigned to buckets by the hash of their ids; only the contents of buckets whose digests
 * differ are sent.
 */
export interface BucketDigests {
  readonly digests: (nowMs: number) => readonly string[];
  /** Combines the digests of all buckets into one. */
  readonly combine: (digests: readonly string[]) => string;
  /** Returns the indexes of the buckets whose digest differs from that of another daemon. */
  readonly differingBuckets: (digests: readonly string[], nowMs: number) => readonly number[];
  readonly rows: (buckets: readonly number[], nowMs: number) => BucketRows;
}

const bucketCount = 32;

const maxRowCount = 65_536;

export const bucketRowsSchema = zod.object({
  members: zod.array(memberRowSchema).max(maxRowCount),
  news: zod.array(messageRowSchema).max(maxRowCount),
});
export const digestSchema = zod.string().max(16);
export const digestsSchema = zod.array(digestSchema).length(bucketCount);
export const exchangeSchema = bucketRowsSchema.extend({
  buckets: zod.array(
    zod
      .number()
      .int()
      .min(0)
      .max(bucketCount - 1),
  ),
});

type Hash = (text: string) => string;

interface Bucketed<Row> {
  readonly bucket: number;
  readonly version: string;
  readonly row: Row;
}

/** Creates the bucket digests of the given table and store. */
export const createBucketDigests = (
  table: MemberTable,
  messages: MessageStore,
  hasher: xxhash.XXHashAPI,
): BucketDigests => {
  const hash: Hash = (text) => hasher.h64ToString(text);
  const bucketOf = (id: string) => hasher.h32(id) % bucketCount;

  const bucketMembers = (): readonly Bucketed<MemberRow>[] =>
    table.records().map((record) => ({
      bucket: bucketOf(record.instanceId),
      version: `${record.instanceId} ${record.incarnation} ${record.refutation} ${record.state}`,
      row: toMemberRow(record),
    }));

  const bucketMessages = (nowMs: number): readonly Bucketed<MessageRow>[] =>
    messages.records(nowMs).map((record) => ({
      bucket: bucketOf(messageId(record)),
      version: `${messageId(record)} ${record.sequence}`,
      row: toMessageRow(record),
    }));

  const digests = (nowMs: number) => {
    const all = [...bucketMembers(), ...bucketMessages(nowMs)];
    const versions = Array.from({ length: bucketCount }, (): string[] => []);
    all.forEach(({ bucket, version }) => versions[bucket]!.push(version));
    return versions.map((bucketVersions) => hash(bucketVersions.sort().join('\n')));
  };

  return {
    digests,
    combine: (all) => hash(all.join(' ')),
    differingBuckets: (theirs, nowMs) =>
      digests(nowMs).flatMap((digest, bucket) => (digest === theirs[bucket] ? [] : [bucket])),
    rows: (buckets, nowMs) => {
      const wanted = new Set(buckets);
      const pick = <Row>(rows: readonly Bucketed<Row>[]) =>
        rows.filter(({ bucket }) => wanted.has(bucket)).map(({ row }) => row);
      return { members: pick(bucketMembers()), news: pick(bucketMessages(nowMs)) };
    },
  };
};
