import * as clocks from '@comfreydrum/clock';
import type * as errors from '@comfreydrum/errors';
import type * as lifecycle from '@comfreydrum/lifecycle';
import * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import { groupsOf, type Group } from './Group';
import { bucketOf, digestsOf } from './listDigest';
import { registrationGraceMs } from './registrationGraceMs';
import type { Target } from './Target';

/** Object kind under which targets register themselves, and the decoder of an entry. */
export interface TargetSource {
  readonly kind: string;
  readonly decode: (id: string, value: unknown) => errors.Result<Target>;
}

/** A version of the target list that belongs to one run of a daemon. */
export interface ListCursor {
  readonly listId: string;
  readonly changeCount: number;
}

/** An entry as daemons exchange it. */
export interface SharedTarget {
  readonly version: number;
  readonly target: Target;
}

/** What a daemon tells of its list to one that doesn't know its cursor. */
export interface ListSummary {
  readonly era?: objectStore.Era;
  /** Version of the list, of no meaning to others. */
  readonly version: number;
  /** A digest of the entries in each bucket. */
  readonly digests: readonly number[];
}

/** The buckets in which two lists differ. */
export interface ListDifference {
  /** Version of the list that was summarised. */
  readonly version: number;
  readonly buckets: readonly number[];
}

/** The changes of a list since a cursor or in some buckets, or the complete list if `isWhole`. */
export interface SharedTargets {
  /** Era of the store to which the versions of the entries belong. */
  readonly era?: objectStore.Era;
  readonly cursor: ListCursor;
  readonly ageMs: number;
  readonly isWhole: boolean;
  /** The buckets of which `changed` has all entries; undefined if it has those changed since a cursor. */
  readonly difference?: ListDifference | undefined;
  readonly changed: readonly SharedTarget[];
  readonly removedIds: readonly string[];
}

/** Tracks the targets that are registered in the store. */
export interface TargetList {
  readonly all: () => ReadonlyMap<string, Target>;
  /** Returns the groups that the targets report; computed once per version. */
  readonly groups: () => readonly Group[];
  /** Increases with each change. */
  readonly version: () => number;
  /** Returns the maximum staleness of the list; infinite before it is first loaded. */
  readonly ageMs: () => number;
  /** Whether the list was read or received at least once. */
  readonly isLoaded: () => boolean;
  /**
   * Whether the targets have had time to register again since the store came back from an older copy, or became reachable
   * for a daemon that started without it. Before that, entries may be older than the state of their targets.
   */
  readonly isSettled: () => boolean;
  readonly onChange: (listener: () => void) => void;
  /**
   * Returns the changes since a cursor of another daemon. If that is unknown or too old, returns what differs from the summary of
   * its list, or the complete list.
   */
  readonly share: (
    since: ListCursor | undefined,
    summary?: ListSummary,
  ) => SharedTargets | undefined;
  /** Returns a summary of the list; undefined before it is first loaded. */
  readonly summary: () => ListSummary | undefined;
  /**
   * Returns the cursor of the list last received from another daemon; undefined after a full store
   * read.
   */
  readonly cursor: () => ListCursor | undefined;
  /** Applies the changes that another daemon returned to a request sent at `askedAt`. */
  readonly applyShared: (shared: SharedTargets, askedAt: clocks.Timestamp) => void;
  readonly component: lifecycle.Component;
}

export interface TargetListOptions {
  readonly client: objectStore.PlatformClient;
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly metrics: telemetry.Metrics;
  readonly source: TargetSource;
  readonly random: () => number;
  /** Minimum time between two calls to the store; evaluated before each call. */
  readonly minIntervalMs: () => number;
  /** Identifies this run of the daemon in cursors. */
  readonly listId: string;
  /** Whether this daemon watches the list in the store itself; defaults to always. */
  readonly shouldFollow?: () => boolean;
  /** Timeout of a watch call; the staleness is at most twice this plus the duration of a call. */
  readonly defaultWatchTimeoutMs?: () => number;
}

const watchWaitMs = 2_000;
/**
 * Number of removals that are kept for other daemons; a daemon that missed more gets the complete
 * list.
 */
const maxKeptRemovals = 512;
const maxRetryMs = 600;

/** After a gap of this length, entries may have expired only because the store was unavailable. */
const outageAfterMs = 2_500;

/** Creates an empty list. Entries that can't be decoded are logged and omitted. */
export const createTargetList = (options: TargetListOptions): TargetList => {
  const { clock, log, source } = options;
  const abort = new AbortController();
  const listeners = new Set<() => void>();
  const targets = new Map<string, Target>();
  const versions = new Map<string, number>();
  const unreadable = new Set<string>();
  /** Entries that expired around a store outage, with the timers that remove them. */
  const expiring = new Map<string, NodeJS.Timeout>();
  /** List version at which each entry was last changed or removed. */
  const changedAtCount = new Map<string, number>();
  const removedAtCount = new Map<string, number>();
  let era: objectStore.Era;
  let settledAtMs = -Infinity;
  /** Entries of a store that came back from an older copy, of targets about which more may be known already. */
  const heldEntries = new Map<string, objectStore.StoredObject>();
  let settleTimer: NodeJS.Timeout | undefined;
  let cursor: ListCursor | undefined;
  let groups: readonly Group[] | undefined;
  let version = 0;
  let isLoaded = false;
  let followerRun: Promise<void> = Promise.resolve();
  let storeRecoveredAtMs = -Infinity;
  let confirmedAt: clocks.Timestamp | undefined;
  /** When the store last answered; the list may have changes up to then, while it is confirmed as of the request. */
  let storeAnsweredAtMs = -Infinity;
  let isFailing = false;
  /** Source of the latest list, for the log. */
  let origin: 'store' | 'daemon' | undefined;

  const ageMs = () =>
    confirmedAt === undefined ? Infinity : clocks.maxElapsedMs(clock, confirmedAt);

  const recordOrigin = (next: 'store' | 'daemon') => {
    if (origin !== next) {
      const fields = { step: 'target list', origin: next, listAgeMs: Math.round(ageMs()) };
      log.info(
        fields,
        next === 'store' ? 'list read from the store' : 'list received from another daemon',
      );
    }
    origin = next;
  };

  const recordChange = (id: string) => {
    const isPresent = targets.has(id);
    changedAtCount.delete(id);
    removedAtCount.delete(id);
    (isPresent ? changedAtCount : removedAtCount).set(id, version + 1);
    const [oldest] = removedAtCount.keys();
    if (removedAtCount.size > maxKeptRemovals) removedAtCount.delete(oldest!);
  };

  const notifyListeners = () => {
    version += 1;
    groups = undefined;
    listeners.forEach((listener) => listener());
  };

  const removeEntry = (id: string) => {
    clearTimeout(expiring.get(id));
    expiring.delete(id);
    versions.delete(id);
    heldEntries.delete(id);
    unreadable.delete(id);
    const wasPresent = targets.delete(id);
    recordChange(id);
    return wasPresent;
  };

  /**
   * Removes an entry, after a grace period if it may have expired only because of a store outage.
   */
  const remove = (id: string): boolean => {
    const remainingGraceMs = storeRecoveredAtMs + registrationGraceMs - clock.monotonicMs();
    if (remainingGraceMs <= 0) return removeEntry(id);
    if (!targets.has(id) || expiring.has(id)) return false;
    expiring.set(
      id,
      setTimeout(() => {
        log.info(
          { step: 'target list', targetId: id },
          'removed target that did not register again after the store outage',
        );
        removeEntry(id);
        notifyListeners();
      }, remainingGraceMs).unref(),
    );
    return false;
  };

  const applyObject = ({
    name,
    value,
    version: entryVersion,
  }: objectStore.StoredObject): boolean => {
    if ((versions.get(name) ?? 0) >= entryVersion) return false;
    heldEntries.delete(name);
    const decoded = source.decode(name, value);
    if (!decoded.ok) {
      if (!unreadable.has(name)) {
        const { step, peer, message } = decoded.error;
        log.warn({ step, peer, targetId: name, version: entryVersion }, message);
      }
      unreadable.add(name);
      const wasPresent = targets.delete(name);
      if (wasPresent) recordChange(name);
      return wasPresent;
    }
    clearTimeout(expiring.get(name));
    expiring.delete(name);
    unreadable.delete(name);
    versions.set(name, entryVersion);
    targets.set(name, decoded.value);
    recordChange(name);
    return true;
  };

  /**
   * Returns the change count below which a cursor may have missed removals that are no longer kept.
   */
  const oldestCompleteCount = () => {
    const [oldest] = removedAtCount.values();
    return removedAtCount.size < maxKeptRemovals ? 0 : (oldest ?? 0);
  };

  /**
   * Records the end of a store outage if neither the store nor another daemon confirmed the list
   * for long.
   */
  const recordOutageEnd = () => {
    const nowMs = clock.monotonicMs();
    const unconfirmedMs = nowMs - (confirmedAt?.monotonicMs ?? nowMs);
    if (unconfirmedMs > outageAfterMs + watchWaitMs) storeRecoveredAtMs = nowMs;
  };

  const isSettled = () => clock.monotonicMs() >= settledAtMs;

  const applyHeldEntries = () => {
    const held = [...heldEntries.values()];
    heldEntries.clear();
    held.forEach(({ name }) => versions.delete(name));
    const appliedCount = held.filter(applyObject).length;
    const fields = { step: 'target list', era, appliedCount };
    log.info(fields, 'took the entries that were held back since the store came back');
    if (appliedCount > 0) notifyListeners();
  };

  /** Gives the targets time to register again. */
  const beginSettling = () => {
    settledAtMs = clock.monotonicMs() + registrationGraceMs;
    clearTimeout(settleTimer);
    settleTimer = setTimeout(applyHeldEntries, registrationGraceMs).unref();
  };

  /** Forgets the versions of the former era; what they say of the targets is kept. */
  const enterEra = (next: objectStore.Era) => {
    const before = era;
    era = next ?? era;
    if (before === undefined || era === before) return;
    versions.clear();
    heldEntries.clear();
    storeRecoveredAtMs = clock.monotonicMs();
    beginSettling();
    const fields = { step: 'target list', era, before, targetCount: targets.size };
    log.warn(fields, 'the store has come back from an older copy');
  };

  /** Reports whether an entry may be older than what is known of its target. */
  const mayBeOutdated = ({ name, value }: objectStore.StoredObject): boolean => {
    if (isSettled() || versions.has(name)) return false;
    const known = targets.get(name);
    if (known === undefined) return removedAtCount.has(name);
    const decoded = source.decode(name, value);
    if (!decoded.ok) return true;
    const { state, startedAtMs } = decoded.value;
    return startedAtMs <= known.startedAtMs && state !== 'leaving';
  };

  const holdEntry = (object: objectStore.StoredObject) => {
    heldEntries.set(object.name, object);
    versions.set(object.name, object.version);
  };

  const versionOf = (id: string): number => (heldEntries.has(id) ? 0 : (versions.get(id) ?? 0));

  const sharedEntries = (): readonly SharedTarget[] =>
    [...targets].map(([id, target]) => ({ version: versionOf(id), target }));

  /** Returns what differs from a list, if the summary of it tells. */
  const shareDifference = (summary: ListSummary) => {
    const own = digestsOf(sharedEntries());
    if (summary.era !== era || summary.digests.length !== own.length) return undefined;
    const buckets = own.flatMap((digest, bucket) =>
      digest === summary.digests[bucket] ? [] : [bucket],
    );
    const differing = new Set(buckets);
    return {
      difference: { version: summary.version, buckets },
      changed: sharedEntries().filter(({ target }) => differing.has(bucketOf(target))),
    };
  };

  const follower = objectStore.createKindFollower({
    client: options.client,
    clock,
    kind: source.kind,
    watchTimeoutMs: options.defaultWatchTimeoutMs ?? (() => watchWaitMs),
    isEnabled: options.shouldFollow,
    minIntervalMs: options.minIntervalMs,
    maxRetryMs,
    random: options.random,
    onSnapshot: (objects, snapshotEra) => {
      recordOutageEnd();
      storeAnsweredAtMs = clock.monotonicMs();
      enterEra(snapshotEra);
      if (!isLoaded && isFailing) beginSettling();
      isLoaded = true;
      cursor = undefined;
      const names = new Set(objects.map(({ name }) => name));
      [...targets.keys()].filter((id) => !names.has(id)).forEach(remove);
      const outdated = objects.filter(mayBeOutdated);
      outdated.forEach(holdEntry);
      objects.forEach(applyObject);
      notifyListeners();
    },
    onChange: (batch) => {
      recordOutageEnd();
      storeAnsweredAtMs = clock.monotonicMs();
      batch.deletedNames.forEach((id) => heldEntries.delete(id));
      const removedCount = batch.deletedNames.filter(remove).length;
      const appliedCount = batch.changed.filter(applyObject).length;
      if (removedCount + appliedCount > 0) notifyListeners();
    },
    onSynced: (moment) => {
      recordOrigin('store');
      confirmedAt = moment;
      if (isFailing) log.info({ step: 'target list', peer: 'store' }, 'store is reachable again');
      isFailing = false;
    },
    onFailure: ({ kind, step, peer, message }) => {
      if (kind === 'expired') return;
      if (!isFailing) log.warn({ step, peer, kind, listAgeMs: Math.round(ageMs()) }, message);
      isFailing = true;
    },
  });

  options.metrics.gauge(
    'comfreydrum_target_list_age_ms',
    'For how long the list of targets may be out of date.',
    ageMs,
  );
  options.metrics.gauge(
    'comfreydrum_store_era',
    'Era of the store, which rises when it comes back from an older copy; 0 if it names none.',
    () => era ?? 0,
  );

  return {
    all: () => targets,
    groups: () => {
      groups ??= groupsOf(targets.values());
      return groups;
    },
    version: () => version,
    ageMs,
    isLoaded: () => isLoaded,
    isSettled,
    onChange: (listener) => {
      listeners.add(listener);
    },
    share: (since, summary) => {
      if (!isLoaded || confirmedAt === undefined) return undefined;
      const isKnownState =
        since?.listId === options.listId && since.changeCount >= oldestCompleteCount();
      const sinceCount = isKnownState ? since.changeCount : 0;
      const shared = {
        era,
        cursor: { listId: options.listId, changeCount: version },
        ageMs: ageMs(),
      };
      const differing =
        isKnownState || summary === undefined ? undefined : shareDifference(summary);
      if (differing !== undefined) {
        return { ...shared, ...differing, isWhole: false, removedIds: [] };
      }
      const idsAfter = (counts: ReadonlyMap<string, number>) =>
        [...counts].filter(([, count]) => count > sinceCount).map(([id]) => id);
      return {
        ...shared,
        isWhole: !isKnownState,
        changed: idsAfter(changedAtCount).map((id) => ({
          version: versionOf(id),
          target: targets.get(id)!,
        })),
        removedIds: isKnownState ? idsAfter(removedAtCount) : [],
      };
    },
    summary: () => (isLoaded ? { era, version, digests: digestsOf(sharedEntries()) } : undefined),
    cursor: () => cursor,
    applyShared: (shared, askedAt) => {
      const sharedAt = clocks.subtractDuration(askedAt, shared.ageMs);
      const isOlder = confirmedAt !== undefined && sharedAt.monotonicMs < confirmedAt.monotonicMs;
      // A list that this daemon has read from the store since then is newer.
      if (isOlder && cursor === undefined) return;
      if (era !== undefined && shared.era !== undefined && shared.era < era) return;
      // Its entries may be older than those of the last answer, which a watch does not repeat.
      const isSameEra = shared.era === undefined || shared.era === era;
      if (isSameEra && sharedAt.monotonicMs < storeAnsweredAtMs) return;
      const { difference } = shared;
      if (difference !== undefined && difference.version !== version) return;
      enterEra(shared.era);
      recordOrigin('daemon');
      cursor = shared.cursor;
      isLoaded = true;
      confirmedAt = sharedAt;
      const keptIds = new Set(shared.changed.map(({ target }) => target.id));
      const coveredBuckets = new Set(difference?.buckets);
      const isMissing = (target: Target) =>
        !keptIds.has(target.id) && (shared.isWhole || coveredBuckets.has(bucketOf(target)));
      const removed =
        shared.isWhole || difference !== undefined
          ? [...targets.values()].filter(isMissing).map(({ id }) => id)
          : shared.removedIds.filter((id) => targets.has(id));
      removed.forEach(removeEntry);
      shared.changed.forEach((entry) => {
        heldEntries.delete(entry.target.id);
        versions.set(entry.target.id, entry.version);
        targets.set(entry.target.id, entry.target);
        recordChange(entry.target.id);
      });
      if (removed.length + shared.changed.length > 0) notifyListeners();
    },
    component: {
      name: 'target list',
      start: () => {
        followerRun = follower.run(abort.signal);
      },
      stop: async () => {
        abort.abort();
        expiring.forEach((timer) => clearTimeout(timer));
        clearTimeout(settleTimer);
        await followerRun;
      },
    },
  };
};
