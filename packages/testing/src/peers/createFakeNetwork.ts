import { setTimeout as delay } from 'node:timers/promises';
import * as errors from '@comfreydrum/errors';
import type * as peers from '@comfreydrum/peers';

type Handler = Parameters<peers.PeerCalls['handle']>[1];

/** An in-process network of daemons, each of which can be killed or made unresponsive. */
export interface FakeNetwork {
  readonly join: (address: string) => peers.PeerCalls;
  /** Makes calls to the address fail as refused. */
  readonly kill: (address: string) => void;
  /** Makes calls to the address fail before they are sent, as if there were no route to it. */
  readonly cutOff: (address: string) => void;
  /** Makes calls to the address time out. */
  readonly makeUnresponsive: (address: string) => void;
  /** Delays the answers of the address; calls with a shorter timeout fail. */
  readonly slowDown: (address: string, delayMs: number) => void;
}

/** Creates a network without daemons. */
export const createFakeNetwork = (): FakeNetwork => {
  const handlers = new Map<string, Map<string, Handler>>();
  const cutOff = new Set<string>();
  const silent = new Set<string>();
  const delaysMs = new Map<string, number>();

  const fail = (kind: peers.PeerFailure['kind'], peer: string) =>
    errors.err<peers.PeerFailure>({ kind, step: 'call', peer, message: kind });

  return {
    join: (self) => {
      const own = new Map<string, Handler>();
      handlers.set(self, own);
      return {
        handle: (method, handler) => {
          own.set(method, handler);
        },
        call: async (address, method, params, timeoutMs) => {
          const handler = handlers.get(address)?.get(method);
          if (cutOff.has(address)) return fail('unreachable', address);
          if (silent.has(address)) return fail('timeout', address);
          if (handler === undefined) return fail('refused', address);
          const delayMs = delaysMs.get(address) ?? 0;
          if (delayMs > 0) await delay(Math.min(delayMs, timeoutMs));
          if (delayMs > timeoutMs) return fail('timeout', address);
          return errors.ok(await handler(params, self));
        },
      };
    },
    kill: (address) => {
      handlers.delete(address);
    },
    cutOff: (address) => {
      cutOff.add(address);
    },
    makeUnresponsive: (address) => {
      silent.add(address);
    },
    slowDown: (address, delayMs) => {
      delaysMs.set(address, delayMs);
    },
  };
};
