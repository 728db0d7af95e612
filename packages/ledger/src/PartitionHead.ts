import * as zod from 'zod';
import { entrySchema, type LedgerEntry } from './LedgerEntry';

const segmentRefSchema = zod
  .object({
    name: zod.string(),
    version: zod.number(),
    sizeBytes: zod.number(),
    /** The size of the segment without its answers. */
    bareBytes: zod.number(),
    newestAtMs: zod.number(),
    expiresAtMs: zod.number(),
  })
  .readonly();

const garbageSchema = zod
  .object({ name: zod.string(), version: zod.number().optional() })
  .readonly();

const storedHeadSchema = zod.object({
  clockMs: zod.number(),
  entries: zod.array(entrySchema),
  segments: zod.array(segmentRefSchema),
  garbage: zod.array(garbageSchema),
});

/** A reference to a sealed segment; times are readings of the partition's clock. */
export type SegmentRef = zod.infer<typeof segmentRefSchema>;

/** A segment that no head refers to and that may still exist on the platform. */
export type GarbageSegment = zod.infer<typeof garbageSchema>;

/**
 * The stored state of one partition.
 *
 * The partition's clock adds up the milliseconds that writers have measured with their monotonic
 * clocks, so it never runs ahead of real time and wall clock jumps don't affect it. Segments are
 * ordered from oldest to newest. For the same key, an entry of the head takes precedence over one of
 * a segment, and an entry of a newer segment over one of an older segment.
 */
export interface PartitionHead {
  readonly clockMs: number;
  readonly entries: ReadonlyMap<string, LedgerEntry>;
  readonly segments: readonly SegmentRef[];
  readonly garbage: readonly GarbageSegment[];
}

/** The head of a partition that has never been written. */
export const emptyHead: PartitionHead = {
  clockMs: 0,
  entries: new Map(),
  segments: [],
  garbage: [],
};

const indexByKey = (entries: readonly LedgerEntry[]): ReadonlyMap<string, LedgerEntry> =>
  new Map(entries.map((entry) => [entry.keyId, entry]));

/** Returns the value that the platform stores for `head`. */
export const encodeHead = (head: PartitionHead): unknown => ({
  ...head,
  entries: [...head.entries.values()],
});

/** Decodes a stored head; throws a ZodError if the value is invalid. */
export const decodeHead = (value: unknown): PartitionHead => {
  const stored = storedHeadSchema.parse(value);
  return { ...stored, entries: indexByKey(stored.entries) };
};

const segmentSchema = zod.object({ entries: zod.array(entrySchema) });

/** Decodes a stored segment, oldest entries first; throws a ZodError if the value is invalid. */
export const decodeSegment = (value: unknown): readonly LedgerEntry[] =>
  segmentSchema.parse(value).entries;
