import type * as objectStore from '@comfreydrum/object-store';

interface Change {
  readonly version: number;
  readonly kind: string;
  readonly name: string;
}

/** The objects of the platform stand-in, with the change history that serves watches. */
export interface ObjectStore {
  readonly version: () => number;
  readonly get: (key: objectStore.ObjectKey) => objectStore.StoredObject | undefined;
  readonly list: (kind: string) => readonly objectStore.StoredObject[];
  /** Writes an object unconditionally and returns the new version. */
  readonly put: (key: objectStore.ObjectKey, value: unknown) => number;
  readonly remove: (key: objectStore.ObjectKey) => number;
  /** Returns the changes after a version, or `expired` when the history no longer covers them. */
  readonly changesSince: (kind: string, since: number) => objectStore.WatchBatch | 'expired';
  /** Calls `listener` after each change of a kind; the returned function unsubscribes. */
  readonly onChange: (kind: string, listener: () => void) => () => void;
}

/** Creates an empty store that keeps at least the last `historyLength` changes. */
export const createObjectStore = (historyLength: number): ObjectStore => {
  const objectsByKind = new Map<string, Map<string, objectStore.StoredObject>>();
  const listenersByKind = new Map<string, Set<() => void>>();
  let history: Change[] = [];
  let version = 0;
  let oldestVersion = 0;

  const objectsOf = (kind: string) => {
    const objects = objectsByKind.get(kind) ?? new Map<string, objectStore.StoredObject>();
    objectsByKind.set(kind, objects);
    return objects;
  };

  const record = ({ kind, name }: objectStore.ObjectKey) => {
    history.push({ version, kind, name });
    if (history.length > 2 * historyLength) {
      oldestVersion = history[historyLength - 1]!.version;
      history = history.slice(historyLength);
    }
    [...(listenersByKind.get(kind) ?? [])].forEach((listener) => listener());
  };

  return {
    version: () => version,
    get: ({ kind, name }) => objectsOf(kind).get(name),
    list: (kind) => [...objectsOf(kind).values()],
    put: (key, value) => {
      version += 1;
      objectsOf(key.kind).set(key.name, { kind: key.kind, name: key.name, version, value });
      record(key);
      return version;
    },
    remove: (key) => {
      version += 1;
      objectsOf(key.kind).delete(key.name);
      record(key);
      return version;
    },
    changesSince: (kind, since) => {
      if (since < oldestVersion || since > version) return 'expired';
      const names = new Set(
        history
          .filter((change) => change.version > since && change.kind === kind)
          .map(({ name }) => name),
      );
      const changed = [...names].flatMap((name) => objectsOf(kind).get(name) ?? []);
      const deletedNames = [...names].filter((name) => !objectsOf(kind).has(name));
      return { version, changed, deletedNames };
    },
    onChange: (kind, listener) => {
      const listeners = listenersByKind.get(kind) ?? new Set();
      listenersByKind.set(kind, listeners.add(listener));
      return () => listeners.delete(listener);
    },
  };
};
