import * as clocks from '@comfreydrum/clock';
import type * as errors from '@comfreydrum/errors';
import type * as lifecycle from '@comfreydrum/lifecycle';
import * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import type { Target } from './Target';

/** Where targets register themselves, and how an entry is read. */
export interface TargetSource {
  readonly kind: string;
  readonly decode: (id: string, value: unknown) => errors.Result<Target>;
}

/** Holds the targets that are registered in the store. */
export interface TargetList {
  readonly all: () => ReadonlyMap<string, Target>;
  /** Rises with each change. */
  readonly version: () => number;
  /** Gives for how long at most the list may be out of date; infinite before it was read. */
  readonly ageMs: () => number;
  /** Tells whether the list was read at least once. */
  readonly isKnown: () => boolean;
  readonly onChange: (listener: () => void) => void;
  readonly part: lifecycle.Part;
}

/** What keeping the list needs. */
export interface TargetListOptions {
  readonly client: objectStore.PlatformClient;
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly source: TargetSource;
  readonly random: () => number;
  /** The least time between two calls; asked before each. */
  readonly spacingMs: () => number;
}

const watchWaitMs = 2_000;
const maxRetryMs = 600;

/** How long entries that are missing when the store returns may take to be written again. */
const returnGraceMs = 2_200;
/** After this long without an answer, entries may have lapsed because the store was away. */
const awayAfterMs = 2_500;

/** Creates a list that has read nothing yet. Entries that can't be read are left out and logged. */
export const createTargetList = (options: TargetListOptions): TargetList => {
  const { clock, log, source } = options;
  const abort = new AbortController();
  const listeners = new Set<() => void>();
  const targets = new Map<string, Target>();
  const versions = new Map<string, number>();
  const unreadable = new Set<string>();
  /** Entries that lapsed around an outage of the store, with the time until which they are kept. */
  const lapsing = new Map<string, NodeJS.Timeout>();
  let version = 0;
  let known = false;
  let following: Promise<void> = Promise.resolve();
  let answeredAtMs = clock.monotonicMs();
  let backAtMs = -Infinity;
  let provedAt: clocks.Moment | undefined;

  const changed = () => {
    version += 1;
    listeners.forEach((listener) => listener());
  };

  const forget = (id: string) => {
    clearTimeout(lapsing.get(id));
    lapsing.delete(id);
    versions.delete(id);
    unreadable.delete(id);
    return targets.delete(id);
  };

  /** Removes an entry, or keeps it for a while where it may have lapsed only because the store was away. */
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
      return targets.delete(name);
    }
    clearTimeout(lapsing.get(name));
    lapsing.delete(name);
    unreadable.delete(name);
    versions.set(name, entryVersion);
    targets.set(name, decoded.value);
    return true;
  };

  const noteAnswer = () => {
    const nowMs = clock.monotonicMs();
    if (nowMs - answeredAtMs > awayAfterMs + watchWaitMs) backAtMs = nowMs;
    answeredAtMs = nowMs;
  };

  const follower = objectStore.createKindFollower({
    client: options.client,
    clock,
    kind: source.kind,
    waitMs: watchWaitMs,
    spacingMs: options.spacingMs,
    maxRetryMs,
    random: options.random,
    onSnapshot: (objects) => {
      noteAnswer();
      known = true;
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
      provedAt = moment;
    },
    onFailure: ({ kind, step, peer, message }) => log.debug({ step, peer, kind }, message),
  });

  return {
    all: () => targets,
    version: () => version,
    ageMs: () => (provedAt === undefined ? Infinity : clocks.maxElapsedMs(clock, provedAt)),
    isKnown: () => known,
    onChange: (listener) => {
      listeners.add(listener);
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
