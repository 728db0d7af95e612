import type * as net from 'node:net';
import { pollConnections } from './pollConnections';

/** The connections of a server that its callers have opened and that it has not accepted yet. */
export interface AcceptQueue {
  /** Resolves once no connection is left to accept, or after the timeout. */
  readonly drain: (timeoutMs: number) => Promise<void>;
  /** Reports whether a connection was accepted after `drain` was called. */
  readonly isLate: (socket: net.Socket) => boolean;
  /** Returns the time since the last connection was accepted. */
  readonly quietMs: () => number;
}

/**
 * Watches the accept queue of a server. The kernel resets the connections in the queue when the server closes, with the
 * requests that callers have sent on them; under load dozens wait there, as Node accepts few in each iteration of the
 * event loop.
 */
export const createAcceptQueue = (server: net.Server): AcceptQueue => {
  const lateSockets = new WeakSet<net.Socket>();
  let acceptedCount = 0;
  let acceptedAtMs = -Infinity;
  let isDraining = false;
  server.on('connection', (socket) => {
    acceptedCount += 1;
    acceptedAtMs = performance.now();
    if (isDraining) lateSockets.add(socket);
  });

  return {
    drain: async (timeoutMs) => {
      isDraining = true;
      const deadlineMs = performance.now() + timeoutMs;
      let earlierCount;
      do {
        earlierCount = acceptedCount;
        await pollConnections();
      } while (acceptedCount > earlierCount && performance.now() < deadlineMs);
    },
    isLate: (socket) => lateSockets.has(socket),
    quietMs: () => performance.now() - acceptedAtMs,
  };
};
