import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';

/** An in-memory platform with faults controlled by a test. */
export interface FakePlatform extends objectStore.PlatformClient {
  readonly setListed: (instances: readonly objectStore.ListedInstance[]) => void;
  readonly setOutage: (isOut: boolean) => void;
  /** Loses the responses of the next `count` writes; `takesEffect` sets whether they are stored. */
  readonly loseAnswers: (count: number, takesEffect: boolean) => void;
  /** Holds all writes until the returned function is called. */
  readonly holdWrites: () => () => void;
  readonly read: (name: string) => unknown;
  readonly conflictCount: () => number;
  /** The number of reads of the target list. */
  readonly listReadCount: () => number;
  /** The number of writes currently held. */
  readonly heldCount: () => number;
}

/** Creates an empty platform. */
export const createFakePlatform = (): FakePlatform => {
  const objects = new Map<string, objectStore.StoredObject>();
  let listed: readonly objectStore.ListedInstance[] = [];
  let version = 0;
  let isOut = false;
  let lostAnswers: boolean[] = [];
  let conflictCount = 0;
  let heldCount = 0;
  let listReadCount = 0;
  let held: Promise<void> | undefined;
  const changeListeners = new Set<() => void>();

  const fail = (kind: objectStore.PlatformFailure['kind'], step: string) =>
    errors.err<objectStore.PlatformFailure>({ kind, step, peer: 'platform', message: kind });

  const changedSince = (kind: string, since: number) =>
    [...objects.values()].filter((object) => object.kind === kind && object.version > since);

  const nextChange = (timeoutMs: number, signal?: AbortSignal) =>
    new Promise<void>((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const done = () => {
        clearTimeout(timer);
        changeListeners.delete(done);
        signal?.removeEventListener('abort', done);
        resolve();
      };
      timer = setTimeout(done, timeoutMs);
      changeListeners.add(done);
      signal?.addEventListener('abort', done);
    });

  const store = (key: objectStore.ObjectKey, value: unknown) => {
    version += 1;
    objects.set(key.name, { ...key, version, value: structuredClone(value) });
    changeListeners.forEach((listener) => listener());
    return version;
  };

  return {
    get: async (key) => {
      if (isOut) return fail('unreachable', 'get');
      const found = objects.get(key.name);
      return found ? errors.ok(found) : fail('not-found', 'get');
    },
    list: async (kind) =>
      isOut ? fail('unreachable', 'list') : errors.ok({ version, objects: changedSince(kind, 0) }),
    put: async (key, value, condition) => {
      heldCount += 1;
      await held;
      heldCount -= 1;
      if (isOut) return fail('unreachable', 'put');
      const takesEffect = lostAnswers.shift();
      const current = objects.get(key.name)?.version ?? 'absent';
      const isMet = condition === 'absent' ? current === 'absent' : current === condition.version;
      if (!isMet) {
        conflictCount += 1;
        return fail(takesEffect === undefined ? 'conflict' : 'ambiguous', 'put');
      }
      if (takesEffect === undefined) return errors.ok(store(key, value));
      if (takesEffect) store(key, value);
      return fail('ambiguous', 'put');
    },
    remove: async () => fail('refused', 'remove'),
    watch: async (kind, since, timeoutMs, signal) => {
      if (isOut) return fail('unreachable', 'watch');
      if (changedSince(kind, since).length === 0) await nextChange(timeoutMs, signal);
      if (isOut) return fail('unreachable', 'watch');
      return errors.ok({ version, changed: changedSince(kind, since), deletedNames: [] });
    },
    instances: async () => {
      listReadCount += 1;
      return isOut ? fail('unreachable', 'instances') : errors.ok(listed);
    },
    setListed: (instances) => {
      listed = instances;
    },
    setOutage: (out) => {
      isOut = out;
    },
    loseAnswers: (count, takesEffect) => {
      lostAnswers = Array.from({ length: count }, () => takesEffect);
    },
    holdWrites: () => {
      let release = () => {};
      held = new Promise((resolve) => {
        release = resolve;
      });
      return () => {
        held = undefined;
        release();
      };
    },
    read: (name) => objects.get(name)?.value,
    conflictCount: () => conflictCount,
    heldCount: () => heldCount,
    listReadCount: () => listReadCount,
  };
};
