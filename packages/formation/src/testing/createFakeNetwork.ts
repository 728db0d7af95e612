import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import type * as peers from '@comfreydrum/peers';

type Handler = Parameters<peers.PeerCalls['handle']>[1];

/** An in-process network of daemons, each of which can be killed or made unresponsive. */
export interface FakeNetwork {
  readonly join: (address: string) => peers.PeerCalls;
  /** Makes calls to the address fail as unreachable. */
  readonly kill: (address: string) => void;
  /** Makes calls to the address time out. */
  readonly makeUnresponsive: (address: string) => void;
}

/** Creates a network without daemons. */
export const createFakeNetwork = (): FakeNetwork => {
  const handlers = new Map<string, Map<string, Handler>>();
  const silent = new Set<string>();

  const fail = (kind: 'unreachable' | 'timeout', peer: string) =>
    errors.err<peers.PeerFailure>({ kind, step: 'call', peer, message: kind });

  return {
    join: (self) => {
      const own = new Map<string, Handler>();
      handlers.set(self, own);
      return {
        handle: (method, handler) => {
          own.set(method, handler);
        },
        call: async (address, method, params) => {
          const handler = handlers.get(address)?.get(method);
          if (silent.has(address)) return fail('timeout', address);
          if (handler === undefined) return fail('unreachable', address);
          return errors.ok(await handler(params, self));
        },
      };
    },
    kill: (address) => {
      handlers.delete(address);
    },
    makeUnresponsive: (address) => {
      silent.add(address);
    },
  };
};

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
