import * as clocks from '@comfreydrum/clock';
import type * as errors from '@comfreydrum/errors';
import type * as lifecycle from '@comfreydrum/lifecycle';
import * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import { groupsOf, type Group } from './Group';
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

/** The changes of a list since a cursor, or the complete list if `isWhole`. */
export interface SharedTargets {
  readonly cursor: ListCursor;
  readonly ageMs: number;
  readonly isWhole: boolean;
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
  readonly isKnown: () => boolean;
  readonly onChange: (listener: () => void) => void;
  /**
   * Returns the changes since a cursor of another daemon, or the complete list if it is too old.
   */
  readonly share: (since: ListCursor | undefined) => SharedTargets | undefined;
  /**
   * Returns the cursor of the list last received from another daemon; undefined after a full store
   * read.
   */
  readonly cursor: () => ListCursor | undefined;
  /** Applies the changes that another daemon returned to a request sent at `askedAt`. */
  readonly takeShared: (shared: SharedTargets, askedAt: clocks.Moment) => void;
  readonly part: lifecycle.Part;
}

export interface TargetListOptions {
  readonly client: objectStore.PlatformClient;
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly source: TargetSource;
  readonly random: () => number;
  /** Minimum time between two calls to the store; evaluated before each call. */
  readonly spacingMs: () => number;
  /** Identifies this run of the daemon in cursors. */
  readonly listId: string;
  /** Whether this daemon watches the list in the store itself; defaults to always. */
  readonly follows?: () => boolean;
  /** Timeout of a watch call; the staleness is at most twice this plus the duration of a call. */
  readonly watchWaitMs?: () => number;
}

const watchWaitMs = 2_000;
/**
 * Number of removals that are kept for other daemons; a daemon that missed more gets the complete
 * list.
 */
const maxRemovedKept = 512;
const maxRetryMs = 600;

/** Time for targets to register again when their entries are missing after a store outage. */
const returnGraceMs = 2_200;
/** After a gap of this length, entries may have expired only because the store was unavailable. */
const awayAfterMs = 2_500;

/** Creates an empty list. Entries that can't be decoded are logged and omitted. */
export const createTargetList = (options: TargetListOptions): TargetList => {
  const { clock, log, source } = options;
  const abort = new AbortController();
  const listeners = new Set<() => void>();
  const targets = new Map<string, Target>();
  const versions = new Map<string, number>();
  const unreadable = new Set<string>();
  /** Entries that expired around a store outage, with the timers that remove them. */
  const lapsing = new Map<string, NodeJS.Timeout>();
  /** List version at which each entry was last changed or removed. */
  const changedAtCount = new Map<string, number>();
  const removedAtCount = new Map<string, number>();
  let cursor: ListCursor | undefined;
  let groups: readonly Group[] | undefined;
  let version = 0;
  let known = false;
  let following: Promise<void> = Promise.resolve();
  let backAtMs = -Infinity;
  let provedAt: clocks.Moment | undefined;
  let isFailing = false;
  /** Source of the latest list, for the log. */
  let origin: 'store' | 'daemon' | undefined;

  const ageMs = () => (provedAt === undefined ? Infinity : clocks.maxElapsedMs(clock, provedAt));

  const noteOrigin = (next: 'store' | 'daemon') => {
    if (origin !== next) {
      const facts = { step: 'target list', origin: next, listAgeMs: Math.round(ageMs()) };
      log.info(
        facts,
        next === 'store' ? 'list read at the store' : 'list received from another daemon',
      );
    }
    origin = next;
  };

  const noteEntry = (id: string) => {
    const isThere = targets.has(id);
    changedAtCount.delete(id);
    removedAtCount.delete(id);
    (isThere ? changedAtCount : removedAtCount).set(id, version + 1);
    const [oldest] = removedAtCount.keys();
    if (removedAtCount.size > maxRemovedKept) removedAtCount.delete(oldest!);
  };

  const changed = () => {
    version += 1;
    groups = undefined;
    listeners.forEach((listener) => listener());
  };

  const forget = (id: string) => {
    clearTimeout(lapsing.get(id));
    lapsing.delete(id);
    versions.delete(id);
    unreadable.delete(id);
    const wasThere = targets.delete(id);
    noteEntry(id);
    return wasThere;
  };

  /**
   * Removes an entry, after a grace period if it may have expired only because of a store outage.
   */
  const remove = (id: string): boolean => {
    const keptForMs = backAtMs + returnGraceMs - clock.monotonicMs();
    if (keptForMs <= 0) return forget(id);
    if (!targets.has(id) || lapsing.has(id)) return false;
    lapsing.set(
      id,
      setTimeout(() => {
        log.info({ step: 'target list', targetId: id }, 'target gone since the store was away');
        forget(id);
        changed();
      }, keptForMs).unref(),
    );
    return false;
  };

  const take = ({ name, value, version: entryVersion }: objectStore.StoredObject): boolean => {
    if ((versions.get(name) ?? 0) >= entryVersion) return false;
    const decoded = source.decode(name, value);
    if (!decoded.ok) {
      if (!unreadable.has(name)) {
        const { step, peer, message } = decoded.error;
        log.warn({ step, peer, targetId: name, version: entryVersion }, message);
      }
      unreadable.add(name);
      const wasThere = targets.delete(name);
      if (wasThere) noteEntry(name);
      return wasThere;
    }
    clearTimeout(lapsing.get(name));
    lapsing.delete(name);
    unreadable.delete(name);
    versions.set(name, entryVersion);
    targets.set(name, decoded.value);
    noteEntry(name);
    return true;
  };

  /**
   * Returns the change count below which a cursor may have missed removals that are no longer kept.
   */
  const oldestShared = () => {
    const [oldest] = removedAtCount.values();
    return removedAtCount.size < maxRemovedKept ? 0 : (oldest ?? 0);
  };

  /**
   * Records the end of a store outage if neither the store nor another daemon confirmed the list
   * for long.
   */
  const noteAnswer = () => {
    const nowMs = clock.monotonicMs();
    const unprovedMs = nowMs - (provedAt?.monotonicMs ?? nowMs);
    if (unprovedMs > awayAfterMs + watchWaitMs) backAtMs = nowMs;
  };

  const follower = objectStore.createKindFollower({
    client: options.client,
    clock,
    kind: source.kind,
    waitMs: options.watchWaitMs ?? (() => watchWaitMs),
    follows: options.follows,
    spacingMs: options.spacingMs,
    maxRetryMs,
    random: options.random,
    onSnapshot: (objects) => {
      noteAnswer();
      known = true;
      cursor = undefined;
      const names = new Set(objects.map(({ name }) => name));
      [...targets.keys()].filter((id) => !names.has(id)).forEach(remove);
      objects.forEach(take);
      changed();
    },
    onChange: (batch) => {
      noteAnswer();
      const removedCount = batch.deletedNames.filter(remove).length;
      const takenCount = batch.changed.filter(take).length;
      if (removedCount + takenCount > 0) changed();
    },
    onCurrent: (moment) => {
      noteOrigin('store');
      provedAt = moment;
      if (isFailing) log.info({ step: 'target list', peer: 'store' }, 'store is reachable again');
      isFailing = false;
    },
    onFailure: ({ kind, step, peer, message }) => {
      if (kind === 'expired') return;
      if (!isFailing) log.warn({ step, peer, kind, listAgeMs: Math.round(ageMs()) }, message);
      isFailing = true;
    },
  });

  return {
    all: () => targets,
    groups: () => {
      groups ??= groupsOf(targets.values());
      return groups;
    },
    version: () => version,
    ageMs,
    isKnown: () => known,
    onChange: (listener) => {
      listeners.add(listener);
    },
    share: (since) => {
      if (!known || provedAt === undefined) return undefined;
      const isKnownState = since?.listId === options.listId && since.changeCount >= oldestShared();
      const sinceCount = isKnownState ? since.changeCount : 0;
      const idsAfter = (counts: ReadonlyMap<string, number>) =>
        [...counts].filter(([, count]) => count > sinceCount).map(([id]) => id);
      return {
        cursor: { listId: options.listId, changeCount: version },
        ageMs: ageMs(),
        isWhole: !isKnownState,
        changed: idsAfter(changedAtCount).map((id) => ({
          version: versions.get(id) ?? 0,
          target: targets.get(id)!,
        })),
        removedIds: isKnownState ? idsAfter(removedAtCount) : [],
      };
    },
    cursor: () => cursor,
    takeShared: (shared, askedAt) => {
      const toldAt = clocks.momentBefore(askedAt, shared.ageMs);
      const isOlder = provedAt !== undefined && toldAt.monotonicMs < provedAt.monotonicMs;
      // A list that this daemon has read from the store since then is newer.
      if (isOlder && cursor === undefined) return;
      noteOrigin('daemon');
      cursor = shared.cursor;
      known = true;
      provedAt = toldAt;
      const kept = new Set(shared.changed.map(({ target }) => target.id));
      const removed = shared.isWhole
        ? [...targets.keys()].filter((id) => !kept.has(id))
        : shared.removedIds.filter((id) => targets.has(id));
      removed.forEach(forget);
      shared.changed.forEach((entry) => {
        versions.set(entry.target.id, entry.version);
        targets.set(entry.target.id, entry.target);
        noteEntry(entry.target.id);
      });
      if (removed.length + shared.changed.length > 0) changed();
    },
    part: {
      name: 'target list',
      start: () => {
        following = follower.run(abort.signal);
      },
      stop: async () => {
        abort.abort();
        lapsing.forEach((timer) => clearTimeout(timer));
        await following;
      },
    },
  };
};
