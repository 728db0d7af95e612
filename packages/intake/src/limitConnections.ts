import type * as net from 'node:net';
import type { RequestGate } from './createRequestGate';

/** Which connections are closed first when there are too many. */
export interface ConnectionLimitOptions {
  readonly maxConnections: number;
  readonly gate: Pick<RequestGate, 'openCount' | 'isReceiving'>;
}

/** The connections of a server that are open. */
export interface ConnectionLimit {
  /** Records that a request has arrived on a connection. */
  readonly touch: (socket: net.Socket) => void;
  readonly connectionCount: () => number;
  /** Returns the number of connections closed because there were too many. */
  readonly closedCount: () => number;
}

/**
 * Keeps the connections of a server to a number. Beyond it, a new connection replaces the one that has waited longest without
 * ever sending a request, or else the one that has been idle longest, or else the one whose request has been arriving longest.
 * If all wait for answers, the new one is closed.
 */
export const limitConnections = (
  server: net.Server,
  { maxConnections, gate }: ConnectionLimitOptions,
): ConnectionLimit => {
  /** Connections without a request so far, the oldest first. */
  const silent = new Set<net.Socket>();
  /** Connections that have sent requests, the one whose latest request is oldest first. */
  const used = new Set<net.Socket>();
  let closedCount = 0;

  const findReplaceable = (): net.Socket | undefined => {
    const [oldest] = silent;
    if (oldest !== undefined) return oldest;
    const inUse = [...used];
    return inUse.find((socket) => gate.openCount(socket) === 0) ?? inUse.find(gate.isReceiving);
  };

  server.on('connection', (socket: net.Socket) => {
    if (silent.size + used.size >= maxConnections) {
      closedCount += 1;
      const replaced = findReplaceable();
      if (replaced === undefined) {
        socket.destroy();
        return;
      }
      silent.delete(replaced);
      used.delete(replaced);
      replaced.destroy();
    }
    silent.add(socket);
    socket.once('close', () => {
      silent.delete(socket);
      used.delete(socket);
    });
  });

  return {
    touch: (socket) => {
      if (!silent.delete(socket) && !used.delete(socket)) return;
      used.add(socket);
    },
    connectionCount: () => silent.size + used.size,
    closedCount: () => closedCount,
  };
};
