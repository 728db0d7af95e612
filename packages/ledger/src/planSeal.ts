import { isExpired, type LedgerEntry } from './LedgerEntry';
import type { PartitionHead, SegmentRef } from './PartitionHead';

/** Size and time limits for sealing entries into segments. */
export interface SealLimits {
  /** The total size of closed entries at which they are moved out of the head. */
  readonly sealAtBytes: number;
  /** The size of a head above which open entries are moved out of it as well. */
  readonly maxHeadBytes: number;
  readonly segmentBytes: number;
  readonly answerRetentionMs: number;
}

/** The writes of one seal: a segment with `sealed` and the entries of `merged`, and a head with `kept`. */
export interface SealPlan {
  readonly sealed: readonly LedgerEntry[];
  readonly kept: ReadonlyMap<string, LedgerEntry>;
  /** The newest segments of the head, oldest first, which the new segment replaces. */
  readonly merged: readonly SegmentRef[];
}

const cachedEntryBytes = new WeakMap<LedgerEntry, number>();

/** Returns the size of an entry in a stored object, cached for each entry. */
const entryBytes = (entry: LedgerEntry): number => {
  const known = cachedEntryBytes.get(entry);
  if (known !== undefined) return known;
  const sizeBytes = Buffer.byteLength(JSON.stringify(entry)) + 1;
  cachedEntryBytes.set(entry, sizeBytes);
  return sizeBytes;
};

const isClosed = (entry: LedgerEntry): boolean =>
  entry.state === 'ran' || entry.state === 'abandoned';

const sumBytes = (entries: readonly LedgerEntry[]): number =>
  entries.reduce((sum, entry) => sum + entryBytes(entry), 0);

/** Removes the answer from an entry that is older than `answerRetentionMs`. */
export const removeExpiredAnswer = (
  entry: LedgerEntry,
  clockMs: number,
  answerRetentionMs: number,
): LedgerEntry => {
  if (entry.state !== 'ran' || clockMs - entry.claimedAtMs <= answerRetentionMs) return entry;
  const { answer, ...bare } = entry;
  return answer ? bare : entry;
};

const projectedBytes = (segment: SegmentRef, clockMs: number, limits: SealLimits): number =>
  clockMs - segment.newestAtMs > limits.answerRetentionMs ? segment.bareBytes : segment.sizeBytes;

/**
 * Selects the newest segments to merge with `sealedBytes` of new entries. Each selected segment is at
 * most twice the size of all that follows it, so an entry is rewritten a logarithmic number of times.
 */
const selectMerged = (
  head: PartitionHead,
  sealedBytes: number,
  limits: SealLimits,
): readonly SegmentRef[] => {
  let totalBytes = sealedBytes;
  let first = head.segments.length;
  while (first > 0) {
    const sizeBytes = projectedBytes(head.segments[first - 1]!, head.clockMs, limits);
    const fits = totalBytes + sizeBytes <= limits.segmentBytes;
    if (!fits || sizeBytes > totalBytes * 2) break;
    totalBytes += sizeBytes;
    first -= 1;
  }
  return head.segments.slice(first);
};

/**
 * Selects the entries to move out of the head: closed entries once they reach `sealAtBytes`, and also
 * the first half of the open entries, in order of insertion, once the head exceeds `maxHeadBytes`.
 */
const selectSealed = (live: readonly LedgerEntry[], limits: SealLimits): readonly LedgerEntry[] => {
  const closed = live.filter(isClosed);
  if (sumBytes(live) > limits.maxHeadBytes) {
    const open = live.filter((entry) => !isClosed(entry));
    return [...closed, ...open.slice(0, Math.ceil(open.length / 2))];
  }
  return sumBytes(closed) < limits.sealAtBytes ? [] : closed;
};

/** Plans a seal, or returns undefined if the head is not full; open claims stay in it if possible. */
export const planSeal = (head: PartitionHead, limits: SealLimits): SealPlan | undefined => {
  const live = [...head.entries.values()].filter((entry) => !isExpired(entry, head.clockMs));
  const sealed = selectSealed(live, limits);
  if (sealed.length === 0) return undefined;
  const sealedKeys = new Set(sealed.map(({ keyId }) => keyId));
  const kept = new Map([...head.entries].filter(([keyId]) => !sealedKeys.has(keyId)));
  return { sealed, kept, merged: selectMerged(head, sumBytes(sealed), limits) };
};

/** Merges entries ordered from oldest to newest; keeps the newest live entry of each key. */
export const mergeEntries = (
  entries: readonly LedgerEntry[],
  clockMs: number,
  answerRetentionMs: number,
): readonly LedgerEntry[] => {
  const byKey = new Map<string, LedgerEntry>();
  entries.forEach((entry) => {
    byKey.delete(entry.keyId);
    byKey.set(entry.keyId, removeExpiredAnswer(entry, clockMs, answerRetentionMs));
  });
  return [...byKey.values()].filter((entry) => !isExpired(entry, clockMs));
};

/** Creates the reference to a segment of `entries` stored under `name` and `version`. */
export const describeSegment = (
  entries: readonly LedgerEntry[],
  name: string,
  version: number,
): SegmentRef => ({
  name,
  version,
  sizeBytes: sumBytes(entries),
  bareBytes: sumBytes(entries.map((entry) => removeExpiredAnswer(entry, Infinity, 0))),
  newestAtMs: Math.max(0, ...entries.map(({ claimedAtMs }) => claimedAtMs)),
  expiresAtMs: Math.max(0, ...entries.map(({ claimedAtMs, windowMs }) => claimedAtMs + windowMs)),
});

/** Removes expired entries and segments from a head; lists the removed segments as garbage. */
export const dropExpired = (head: PartitionHead): PartitionHead => {
  const expired = head.segments.filter(({ expiresAtMs }) => expiresAtMs < head.clockMs);
  const live = [...head.entries].filter(([, entry]) => !isExpired(entry, head.clockMs));
  return {
    ...head,
    entries: live.length === head.entries.size ? head.entries : new Map(live),
    segments: head.segments.filter((segment) => !expired.includes(segment)),
    garbage: [...head.garbage, ...expired.map(({ name, version }) => ({ name, version }))],
  };
};
