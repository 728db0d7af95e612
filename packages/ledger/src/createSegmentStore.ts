import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import { fingerprintOf } from './keyIdentity';
import type { LedgerEntry } from './LedgerEntry';
import { decodeSegment, type GarbageSegment, type SegmentRef } from './PartitionHead';

type PlatformResult<Value> = Promise<errors.Result<Value, objectStore.PlatformFailure>>;

/** The sealed segments of one partition, with key fingerprints in memory and entries on the platform. */
export interface SegmentStore {
  /** Loads missing fingerprints of `segments` and evicts those of all other segments. */
  readonly load: (segments: readonly SegmentRef[]) => PlatformResult<void>;
  /** Returns the entry of each key found in a loaded segment; the newest segment takes precedence. */
  readonly find: (
    keyIds: readonly string[],
    segments: readonly SegmentRef[],
  ) => PlatformResult<ReadonlyMap<string, LedgerEntry>>;
  readonly read: (segment: SegmentRef) => PlatformResult<readonly LedgerEntry[]>;
  readonly write: (name: string, entries: readonly LedgerEntry[]) => PlatformResult<number>;
  /** Deletes a segment that no head refers to; returns whether it no longer exists. */
  readonly remove: (segment: GarbageSegment) => Promise<boolean>;
  /** Returns the memory used by the fingerprints, in bytes. */
  readonly indexBytes: () => number;
}

const segmentKind = 'ledger-segment';
const concurrentReads = 4;

const contains = (sorted: Uint32Array, wanted: number): boolean => {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (sorted[middle]! < wanted) low = middle + 1;
    else high = middle;
  }
  return sorted[low] === wanted;
};

const indexEntries = (entries: readonly LedgerEntry[]): Uint32Array =>
  Uint32Array.from(entries, ({ keyId }) => fingerprintOf(keyId)).sort();

/** Creates a store with no fingerprints loaded. */
export const createSegmentStore = (client: objectStore.PlatformClient): SegmentStore => {
  const fingerprints = new Map<string, Uint32Array>();

  const read = async ({ name }: SegmentRef): PlatformResult<readonly LedgerEntry[]> => {
    const result = await client.get({ kind: segmentKind, name }, 'safety');
    return result.ok ? errors.ok(decodeSegment(result.value.value)) : result;
  };

  const loadOne = async (segment: SegmentRef): PlatformResult<void> => {
    const entries = await read(segment);
    if (!entries.ok) return entries;
    fingerprints.set(segment.name, indexEntries(entries.value));
    return errors.ok(undefined);
  };

  const evictOthers = (segments: readonly SegmentRef[]) => {
    const names = new Set(segments.map(({ name }) => name));
    [...fingerprints.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => fingerprints.delete(name));
  };

  const findOne = async (keyId: string, segments: readonly SegmentRef[]) => {
    const fingerprint = fingerprintOf(keyId);
    const candidates = segments.filter(({ name }) =>
      contains(fingerprints.get(name) ?? new Uint32Array(), fingerprint),
    );
    for (const segment of candidates.reverse()) {
      const entries = await read(segment);
      if (!entries.ok) return entries;
      const entry = entries.value.find((candidate) => candidate.keyId === keyId);
      if (entry) return errors.ok(entry);
    }
    return errors.ok(undefined);
  };

  return {
    load: async (segments) => {
      evictOthers(segments);
      const missing = segments.filter(({ name }) => !fingerprints.has(name));
      for (let first = 0; first < missing.length; first += concurrentReads) {
        const results = await Promise.all(
          missing.slice(first, first + concurrentReads).map(loadOne),
        );
        const failed = results.find((result) => !result.ok);
        if (failed) return failed;
      }
      return errors.ok(undefined);
    },
    find: async (keyIds, segments) => {
      const found = new Map<string, LedgerEntry>();
      for (const keyId of keyIds) {
        const result = await findOne(keyId, segments);
        if (!result.ok) return result;
        if (result.value) found.set(keyId, result.value);
      }
      return errors.ok(found);
    },
    read,
    write: async (name, entries) => {
      const result = await client.put({ kind: segmentKind, name }, { entries }, 'absent', 'normal');
      if (result.ok) fingerprints.set(name, indexEntries(entries));
      return result;
    },
    remove: async ({ name, version }) => {
      const key = { kind: segmentKind, name };
      let knownVersion = version;
      if (knownVersion === undefined) {
        const stored = await client.get(key, 'background');
        if (!stored.ok) return stored.error.kind === 'not-found';
        knownVersion = stored.value.version;
      }
      const result = await client.remove(key, knownVersion, 'background');
      return result.ok || result.error.kind === 'not-found';
    },
    indexBytes: () =>
      [...fingerprints.values()].reduce((sum, { byteLength }) => sum + byteLength, 0),
  };
};
