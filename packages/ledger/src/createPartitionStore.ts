import type * as clock from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import * as ulid from 'ulid';
import { createSegmentStore, type SegmentStore } from './createSegmentStore';
import type { LedgerEntry } from './LedgerEntry';
import type { LedgerSettings } from './ledgerSettings';
import {
  decodeHead,
  emptyHead,
  encodeHead,
  type PartitionHead,
  type SegmentRef,
} from './PartitionHead';
import { describeSegment, dropExpired, mergeEntries, planSeal, type SealPlan } from './planSeal';

type PlatformResult<Value> = Promise<errors.Result<Value, objectStore.PlatformFailure>>;

/** A head and the write condition for replacing it. */
export interface HeadSnapshot {
  readonly head: PartitionHead;
  readonly condition: objectStore.WriteCondition;
}

/** The head and segments of one partition, as last read or written by this daemon. */
export interface PartitionStore {
  /** Returns the cached head with its clock advanced to now, or undefined if none is cached. */
  readonly current: () => HeadSnapshot | undefined;
  /** Reads and caches the head and the fingerprints of its segments. */
  readonly load: () => PlatformResult<HeadSnapshot>;
  /** Replaces the head that `condition` was read with; clears the cached head on failure. */
  readonly commit: (
    head: PartitionHead,
    condition: objectStore.WriteCondition,
  ) => PlatformResult<void>;
  /** Reads all entries of the head and its segments, oldest first, without changing the cache. */
  readonly readAll: () => PlatformResult<readonly LedgerEntry[]>;
  /** Seals a full head, or else deletes segments that the head just written does not refer to. */
  readonly maintain: () => Promise<void>;
  /** Clears the cached head, so that it is read again. */
  readonly invalidate: () => void;
  readonly segments: SegmentStore;
}

export interface PartitionStoreOptions {
  readonly client: objectStore.PlatformClient;
  readonly clockSource: clock.Clock;
  readonly settings: LedgerSettings;
  readonly partition: number;
  readonly onSeal: (entryCount: number) => void;
}

interface LoadedHead extends HeadSnapshot {
  readonly atMs: number;
}

const headKind = 'ledger-head';
const removalsPerWrite = 4;

/** Creates the store of a partition with an empty cache. */
export const createPartitionStore = ({
  client,
  clockSource,
  settings,
  partition,
  onSeal,
}: PartitionStoreOptions): PartitionStore => {
  const headKey: objectStore.ObjectKey = { kind: headKind, name: `partition-${partition}` };
  const segments = createSegmentStore(client);
  let cached: LoadedHead | undefined;
  let lastSeen: LoadedHead | undefined;
  const deletedNames = new Set<string>();
  let isRemoving = false;
  let plannedSegmentName: string | undefined;

  const current = (): HeadSnapshot | undefined => {
    if (!cached) return undefined;
    const elapsedMs = Math.max(0, Math.floor(clockSource.monotonicMs() - cached.atMs));
    const head = { ...cached.head, clockMs: cached.head.clockMs + elapsedMs };
    return { head, condition: cached.condition };
  };

  const readHead = async (): PlatformResult<LoadedHead> => {
    const result = await client.get(headKey, 'safety');
    const atMs = clockSource.monotonicMs();
    if (result.ok) {
      const { value, version } = result.value;
      return errors.ok({ head: decodeHead(value), condition: { version }, atMs });
    }
    if (result.error.kind !== 'not-found') return result;
    return errors.ok({ head: emptyHead, condition: 'absent', atMs });
  };

  /**
   * Reports whether a head has the version that this daemon saw last. No writer has replaced the head
   * since then, so its clock has kept running from that time.
   */
  const isLastSeen = ({ condition }: LoadedHead): boolean =>
    condition !== 'absent' &&
    lastSeen !== undefined &&
    lastSeen.condition !== 'absent' &&
    lastSeen.condition.version === condition.version;

  const load = async (): PlatformResult<HeadSnapshot> => {
    cached = undefined;
    const read = await readHead();
    if (!read.ok) return read;
    const indexed = await segments.load(read.value.head.segments);
    if (!indexed.ok) return indexed;
    cached = isLastSeen(read.value) ? lastSeen! : read.value;
    lastSeen = cached;
    return errors.ok(current()!);
  };

  const writeHead = async (
    head: PartitionHead,
    condition: objectStore.WriteCondition,
  ): PlatformResult<PartitionHead> => {
    const garbage = head.garbage.filter(({ name }) => !deletedNames.has(name));
    const written: PartitionHead = { ...head, garbage };
    const atMs = clockSource.monotonicMs();
    cached = undefined;
    const result = await client.put(headKey, encodeHead(written), condition, 'safety');
    if (!result.ok) return result;
    const kept = new Set(garbage.map(({ name }) => name));
    [...deletedNames]
      .filter((name) => !kept.has(name))
      .forEach((name) => deletedNames.delete(name));
    cached = { head: written, condition: { version: result.value }, atMs };
    lastSeen = cached;
    return errors.ok(written);
  };

  /**
   * Deletes segments that `head`, the stored head, does not refer to. This is safe: a writer that is
   * about to refer to one of them has read an older head, so its conditional update fails.
   */
  const removeGarbage = async (head: PartitionHead) => {
    if (isRemoving) return;
    isRemoving = true;
    const candidates = head.garbage.filter(({ name }) => !deletedNames.has(name));
    for (const segment of candidates.slice(0, removalsPerWrite)) {
      if (await segments.remove(segment)) deletedNames.add(segment.name);
    }
    isRemoving = false;
  };

  const readEntries = async (
    refs: readonly SegmentRef[],
  ): PlatformResult<readonly LedgerEntry[]> => {
    const entries: LedgerEntry[] = [];
    for (const segment of refs) {
      const read = await segments.read(segment);
      if (!read.ok) return read;
      entries.push(...read.value);
    }
    return errors.ok(entries);
  };

  const readAll = async (): PlatformResult<readonly LedgerEntry[]> => {
    const read = await readHead();
    if (!read.ok) return read;
    const { head } = read.value;
    const sealed = await readEntries(head.segments);
    return sealed.ok ? errors.ok([...sealed.value, ...head.entries.values()]) : sealed;
  };

  const seal = async (plan: SealPlan, name: string): Promise<void> => {
    const older = await readEntries(plan.merged);
    const snapshot = current();
    if (!older.ok || !snapshot) return;
    const { head, condition } = snapshot;
    const all = [...older.value, ...plan.sealed];
    const entries = mergeEntries(all, head.clockMs, settings.answerRetentionMs);
    const written = await segments.write(name, entries);
    if (!written.ok) return;
    const keptSegments = head.segments.filter((segment) => !plan.merged.includes(segment));
    const merged = plan.merged.map((segment) => ({ name: segment.name, version: segment.version }));
    const sealed: PartitionHead = {
      ...head,
      entries: plan.kept,
      segments: [...keptSegments, describeSegment(entries, name, written.value)],
      garbage: [...head.garbage.filter((garbage) => garbage.name !== name), ...merged],
    };
    const result = await writeHead(sealed, condition);
    if (!result.ok) return;
    onSeal(plan.sealed.length);
    void removeGarbage(result.value);
  };

  const commit = async (
    head: PartitionHead,
    condition: objectStore.WriteCondition,
  ): PlatformResult<void> => {
    const trimmed = dropExpired(head);
    plannedSegmentName = planSeal(trimmed, settings) ? ulid.ulid() : undefined;
    const planned = plannedSegmentName === undefined ? [] : [{ name: plannedSegmentName }];
    const garbage = [...trimmed.garbage, ...planned];
    const result = await writeHead({ ...trimmed, garbage }, condition);
    return result.ok ? errors.ok(undefined) : result;
  };

  const maintain = async (): Promise<void> => {
    const head = current()?.head;
    if (!head) return;
    const plan = planSeal(head, settings);
    if (plan) await seal(plan, plannedSegmentName ?? ulid.ulid());
    else void removeGarbage(head);
    plannedSegmentName = undefined;
  };

  return {
    current,
    load,
    commit,
    maintain,
    readAll,
    invalidate: () => {
      cached = undefined;
    },
    segments,
  };
};
