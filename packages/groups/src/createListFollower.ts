import { createHash } from 'node:crypto';
import type * as clock from '@comfreydrum/clock';
import type * as errors from '@comfreydrum/errors';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import {
  digestSchema,
  entryKeyOf,
  entryRowSchema,
  instanceOfKey,
  listKey,
  toEntry,
  toEntryRow,
} from './listMessages';

type List = readonly objectStore.ListedInstance[];

/**
 * Keeps a copy of the platform's target list. A few daemons read it and publish its changes to the
 * others.
 */
export interface ListFollower {
  /** Reads the list if a read is due. Call it every `listTickMs`. */
  readonly tick: () => Promise<void>;
  /** Applies a message of a list reader. */
  readonly onMessage: (item: peers.BusMessage) => void;
}

/** Dependencies of the list follower. */
export interface ListFollowerOptions {
  readonly clock: clock.Clock;
  readonly messageBus: peers.MessageBus;
  readonly read: () => Promise<errors.Result<List, objectStore.PlatformFailure>>;
  readonly listed: () => List;
  readonly setListed: (list: List) => void;
  /** Returns 0 on the daemon that reads the list for the fleet, and 1 on its standby. */
  readonly rank: () => number | undefined;
  /**
   * Whether this daemon watches a fabric domain and must therefore learn of leaving targets
   * quickly.
   */
  readonly isWatcher: () => boolean;
  readonly memberCount: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

export const listTickMs = 100;
const readerIntervalMs = 1_000;
const watcherIntervalMs = 1_000;
const otherIntervalMs = 1_500;
const intervalPerMemberMs = 30;
/**
 * How long to wait for a reader's digest, or for one that matches the local list, before reading.
 */
const digestTimeoutMs = 1_300;
/** Shorter for the standby, so that its digest keeps the other daemons from reading. */
const standbyDigestTimeoutMs = 1_100;
/** How long a reader's previous read remains a valid record of what it has already published. */
const previousReadLifetimeMs = 2_000;
const pauseThresholdMs = 500;
const digestLifetimeMs = 2_000;
const entryLifetimeMs = 10_000;
/** The maximum number of changes published per read. Daemons that miss the rest read the list. */
const maxPublishedPerRead = 100;
/** How long an entry published as leaving stays leaving, even if older messages arrive later. */
const leavingHoldMs = 5_000;

const digestLength = 16;

const digestOf = (list: List): string => {
  const rows = list.map((entry) => JSON.stringify([entry.instanceId, toEntryRow(entry)]));
  const text = rows.sort().join('\n');
  return createHash('sha256').update(text).digest('base64').slice(0, digestLength);
};

const byId = (list: List) => new Map(list.map((entry) => [entry.instanceId, entry]));

const isSame = (
  one: objectStore.ListedInstance | undefined,
  other: objectStore.ListedInstance | undefined,
) => JSON.stringify(toEntryRow(one)) === JSON.stringify(toEntryRow(other));

/** Creates a follower with an empty list, which it reads at its first tick. */
export const createListFollower = (options: ListFollowerOptions): ListFollower => {
  const { clock, messageBus, listed } = options;
  const leavingReceivedAtMs = new Map<string, number>();
  let previousRead: ReadonlyMap<string, objectStore.ListedInstance> | undefined;
  let cachedDigest: { readonly list: List; readonly digest: string } | undefined;
  let isReading = false;
  let hasList = false;
  let mustReread = true;
  let readDelayMs = 0;
  let dueAtMs = -Infinity;
  let tickedAtMs = clock.monotonicMs();
  let digestReceivedAtMs = -Infinity;
  let readAtMs = -Infinity;
  let digestMatchedAtMs = clock.monotonicMs();

  const ownDigest = () => {
    if (cachedDigest?.list !== listed())
      cachedDigest = { list: listed(), digest: digestOf(listed()) };
    return cachedDigest.digest;
  };

  const withJitter = (durationMs: number) => durationMs * (0.5 + options.random());

  const intervalMs = (): number => {
    if (options.rank() !== undefined) return readerIntervalMs * (0.6 + 0.4 * options.random());
    if (options.isWatcher()) return withJitter(watcherIntervalMs);
    return withJitter(Math.max(otherIntervalMs, options.memberCount() * intervalPerMemberMs));
  };

  /** Publishes the changes since this reader's previous read, with leaving targets first. */
  const publishChanges = (list: List) => {
    const now = byId(list);
    const known = byId(listed());
    const before = previousRead ?? known;
    const isLeaving = (instanceId: string) => now.get(instanceId)?.state === 'leaving';
    const changed = [...new Set([...now.keys(), ...before.keys()])]
      .filter((instanceId) => !isSame(now.get(instanceId), before.get(instanceId)))
      .sort((left, right) => Number(isLeaving(right)) - Number(isLeaving(left)));
    changed
      .filter((instanceId) => !isSame(now.get(instanceId), known.get(instanceId)))
      .slice(0, maxPublishedPerRead)
      .forEach((instanceId) => {
        const row = toEntryRow(now.get(instanceId));
        messageBus.publish('presence', entryKeyOf(instanceId), row, entryLifetimeMs);
      });
  };

  const applyRead = (list: List) => {
    const isReader = options.rank() !== undefined;
    const nowMs = clock.monotonicMs();
    if (nowMs - readAtMs >= previousReadLifetimeMs) previousRead = undefined;
    if (isReader && hasList) publishChanges(list);
    previousRead = byId(list);
    options.setListed(list);
    hasList = true;
    mustReread = false;
    digestMatchedAtMs = nowMs;
    readAtMs = nowMs;
    if (isReader) messageBus.publish('presence', listKey, ownDigest(), digestLifetimeMs);
  };

  const read = async () => {
    const result = await options.read();
    readDelayMs = intervalMs();
    dueAtMs = clock.monotonicMs() + readDelayMs;
    if (result.ok) applyRead(result.value);
  };

  /**
   * The reader always reads. Other daemons read when no digest arrives, or when the digests do not
   * match their list.
   */
  const shouldRead = (nowMs: number): boolean => {
    const rank = options.rank();
    if (mustReread || rank === 0) return true;
    if (rank === 1) return nowMs - digestReceivedAtMs >= standbyDigestTimeoutMs;
    const unconfirmedMs = nowMs - Math.min(digestReceivedAtMs, digestMatchedAtMs);
    if (unconfirmedMs < digestTimeoutMs) return false;
    return unconfirmedMs >= digestTimeoutMs + readDelayMs || options.isWatcher();
  };

  const onDigest = (value: unknown) => {
    const checked = digestSchema.safeParse(value);
    if (!checked.success) return;
    const nowMs = clock.monotonicMs();
    digestReceivedAtMs = nowMs;
    if (checked.data === ownDigest()) digestMatchedAtMs = nowMs;
  };

  const onEntry = (instanceId: string, value: unknown) => {
    const checked = entryRowSchema.safeParse(value);
    if (!checked.success || !hasList) return;
    const nowMs = clock.monotonicMs();
    const entry = toEntry(instanceId, checked.data);
    if (entry?.state === 'leaving') leavingReceivedAtMs.set(instanceId, nowMs);
    const receivedAtMs = leavingReceivedAtMs.get(instanceId) ?? -Infinity;
    if (entry?.state === 'live' && nowMs - receivedAtMs < leavingHoldMs) return;
    const others = listed().filter((known) => known.instanceId !== instanceId);
    options.setListed(entry ? [...others, entry] : others);
  };

  return {
    tick: async () => {
      const nowMs = clock.monotonicMs();
      const hasPaused = nowMs - tickedAtMs > pauseThresholdMs;
      tickedAtMs = nowMs;
      mustReread ||= hasPaused;
      const isDue = hasPaused || nowMs >= dueAtMs;
      if (isReading || !isDue || !shouldRead(nowMs)) return;
      isReading = true;
      try {
        await read();
      } finally {
        isReading = false;
      }
    },
    onMessage: ({ key, value }) => {
      const instanceId = instanceOfKey(key);
      if (instanceId !== undefined) onEntry(instanceId, value);
      if (key === listKey) onDigest(value);
    },
  };
};
