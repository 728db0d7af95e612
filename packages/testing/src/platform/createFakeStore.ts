import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';

/** An in-memory object store with fault injection. */
export interface FakeStore {
  readonly clientOf: (address: string) => objectStore.PlatformClient;
  /** Rejects the calls of one daemon, and continues to serve the others. */
  readonly rejectCallsOf: (address: string) => void;
  readonly setDown: (isDown: boolean) => void;
  /** Executes the next write but loses the response. */
  readonly loseNextResponse: () => void;
}

/** Creates an empty store. */
export const createFakeStore = (): FakeStore => {
  const objects = new Map<string, objectStore.StoredObject>();
  let version = 0;
  let down = false;
  let losesNextResponse = false;
  const rejectedAddresses = new Set<string>();

  const fail = (kind: objectStore.PlatformFailure['kind']) =>
    errors.err<objectStore.PlatformFailure>({ kind, step: 'call', peer: 'store', message: kind });
  const pathOf = ({ kind, name }: objectStore.ObjectKey) => `${kind}/${name}`;

  const clientOf = (address: string): objectStore.PlatformClient => ({
    get: async (key) => {
      if (down || rejectedAddresses.has(address)) return fail('unreachable');
      const object = objects.get(pathOf(key));
      return object === undefined ? fail('not-found') : errors.ok(object);
    },
    put: async (key, value, condition) => {
      if (down || rejectedAddresses.has(address)) return fail('unreachable');
      const before = objects.get(pathOf(key));
      const holds =
        condition === 'absent' ? before === undefined : before?.version === condition.version;
      if (!holds) return fail('conflict');
      version += 1;
      objects.set(pathOf(key), { ...key, version, value });
      if (!losesNextResponse) return errors.ok(version);
      losesNextResponse = false;
      return fail('ambiguous');
    },
    remove: async () => fail('ambiguous'),
    list: async () => fail('ambiguous'),
    watch: async () => fail('ambiguous'),
    instances: async () => fail('ambiguous'),
  });

  return {
    clientOf,
    rejectCallsOf: (address) => {
      rejectedAddresses.add(address);
    },
    setDown: (isDown) => {
      down = isDown;
    },
    loseNextResponse: () => {
      losesNextResponse = true;
    },
  };
};
