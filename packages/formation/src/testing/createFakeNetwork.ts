import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import type * as peers from '@comfreydrum/peers';

type Handler = Parameters<peers.PeerCalls['handle']>[1];

/** Daemons that call each other in one process; a daemon can be killed or cut off. */
export interface FakeNetwork {
  readonly join: (address: string) => peers.PeerCalls;
  /** Nobody listens at the address any more. */
  readonly kill: (address: string) => void;
  /** Calls to the address get no answer. */
  readonly silence: (address: string) => void;
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
    silence: (address) => {
      silent.add(address);
    },
  };
};

/** A store of the product's own objects, in memory. */
export interface FakeStore {
  readonly clientOf: (address: string) => objectStore.PlatformClient;
  /** Refuses the calls of one daemon and serves the others. */
  readonly turnAway: (address: string) => void;
  readonly setDown: (isDown: boolean) => void;
  /** Carries out the next write but loses its answer. */
  readonly loseNextAnswer: () => void;
}

/** Creates an empty store. */
export const createFakeStore = (): FakeStore => {
  const objects = new Map<string, objectStore.StoredObject>();
  let version = 0;
  let down = false;
  let losesAnswer = false;
  const turnedAway = new Set<string>();

  const fail = (kind: objectStore.PlatformFailure['kind']) =>
    errors.err<objectStore.PlatformFailure>({ kind, step: 'call', peer: 'store', message: kind });
  const pathOf = ({ kind, name }: objectStore.ObjectKey) => `${kind}/${name}`;

  const clientOf = (address: string): objectStore.PlatformClient => ({
    get: async (key) => {
      if (down || turnedAway.has(address)) return fail('unreachable');
      const object = objects.get(pathOf(key));
      return object === undefined ? fail('not-found') : errors.ok(object);
    },
    put: async (key, value, condition) => {
      if (down || turnedAway.has(address)) return fail('unreachable');
      const before = objects.get(pathOf(key));
      const holds =
        condition === 'absent' ? before === undefined : before?.version === condition.version;
      if (!holds) return fail('conflict');
      version += 1;
      objects.set(pathOf(key), { ...key, version, value });
      if (!losesAnswer) return errors.ok(version);
      losesAnswer = false;
      return fail('ambiguous');
    },
    remove: async () => fail('ambiguous'),
    list: async () => fail('ambiguous'),
    watch: async () => fail('ambiguous'),
    instances: async () => fail('ambiguous'),
  });

  return {
    clientOf,
    turnAway: (address) => {
      turnedAway.add(address);
    },
    setDown: (isDown) => {
      down = isDown;
    },
    loseNextAnswer: () => {
      losesAnswer = true;
    },
  };
};
