import * as net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Address } from './Address';

/** A TCP listener that closes while its target does not listen, so that callers are refused. */
export interface ReopeningListener {
  /** Starts listening and returns the bound address. */
  readonly open: () => Promise<Address>;
  /** Closes the listener and reopens it once the target listens again. */
  readonly closeUntilTargetListens: () => Promise<void>;
  readonly stop: () => void;
}

const probeIntervalMs = 20;

const isListening = (target: Address): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = net.connect({ host: target.ip, port: target.port });
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });

const listenOn = (address: Address, accept: (socket: net.Socket) => void): Promise<net.Server> =>
  new Promise((resolve, reject) => {
    const server = net.createServer({ allowHalfOpen: true, noDelay: true }, accept);
    server.once('error', reject);
    server.listen(address.port, address.ip, () => resolve(server));
  });

/** Creates a closed listener on `listen` in front of `target`. */
export const createReopeningListener = (
  listen: Address,
  target: Address,
  accept: (socket: net.Socket) => void,
): ReopeningListener => {
  let server: net.Server | undefined;
  let bound = listen;
  let isStopped = false;

  return {
    open: async () => {
      server = await listenOn(listen, accept);
      bound = { ...listen, port: (server.address() as net.AddressInfo).port };
      return bound;
    },
    closeUntilTargetListens: async () => {
      if (!server) return;
      server.close();
      server = undefined;
      while (!isStopped && !(await isListening(target))) await sleep(probeIntervalMs);
      if (isStopped) return;
      server = await listenOn(bound, accept);
    },
    stop: () => {
      isStopped = true;
      server?.close();
    },
  };
};
