import * as net from 'node:net';
import type { Random } from '../createRandom';
import type { Address } from './Address';
import { createReopeningListener } from './createReopeningListener';
import { createFaultyPipe } from './createFaultyPipe';
import type { FaultyPipe } from './createFaultyPipe';
import type { LinkFaultRegistry } from './LinkFault';

/** Forwards TCP connections to one address. */
export interface TcpForwarder {
  readonly start: () => Promise<Address>;
  readonly stop: () => void;
  /** Resets the connections from an IP, or all connections when it is left out. */
  readonly resetConnections: (fromIp?: string) => void;
  readonly connectionCount: () => number;
}

interface Connection {
  readonly fromIp: string;
  readonly client: net.Socket;
  readonly server: { socket: net.Socket | undefined };
  readonly pipes: FaultyPipe[];
}

/**
 * Creates a forwarder from `listen` to `target`. It connects from the caller's own IP, so that the
 * target and other forwarders can still distinguish callers.
 */
export const createTcpForwarder = (
  listen: Address,
  target: Address,
  faults: LinkFaultRegistry,
  random: Random,
): TcpForwarder => {
  const connections = new Set<Connection>();
  // Set below: the listener needs `accept`, which in turn needs this callback.
  const refusalCallback: { run: () => void } = { run: () => {} };

  const readFault = (fromIp: string, toIp: string) => () => faults.read(fromIp, toIp);

  const connect = (connection: Connection) => {
    const { fromIp, client, server, pipes } = connection;
    if (server.socket || faults.read(fromIp, target.ip).isCut) return;
    const socket = net.connect({
      host: target.ip,
      port: target.port,
      localAddress: fromIp,
      allowHalfOpen: true,
      noDelay: true,
    });
    server.socket = socket;
    socket.on('error', (cause) => {
      if ('code' in cause && cause.code === 'ECONNREFUSED') refusalCallback.run();
    });
    socket.on('close', () => {
      if (client.destroyed) connections.delete(connection);
    });
    pipes.push(
      createFaultyPipe(client, socket, readFault(fromIp, target.ip), random),
      createFaultyPipe(socket, client, readFault(target.ip, fromIp), random),
    );
  };

  const accept = (client: net.Socket) => {
    const fromIp = client.remoteAddress ?? '';
    client.on('error', () => {});
    if (faults.read(fromIp, target.ip).isRefused) {
      client.resetAndDestroy();
      return;
    }
    const connection: Connection = { fromIp, client, server: { socket: undefined }, pipes: [] };
    connections.add(connection);
    client.on('close', () => {
      const { socket } = connection.server;
      if (!socket || socket.destroyed) connections.delete(connection);
    });
    connect(connection);
  };

  const destroy = ({ client, server }: Connection) => {
    client.resetAndDestroy();
    server.socket?.resetAndDestroy();
  };

  const listener = createReopeningListener(listen, target, accept);
  refusalCallback.run = () => {
    void listener.closeUntilTargetListens();
  };
  const unsubscribe = faults.onChange(() =>
    connections.forEach((connection) => {
      connect(connection);
      connection.pipes.forEach((pipe) => pipe.flush());
    }),
  );

  return {
    start: listener.open,
    stop: () => {
      unsubscribe();
      listener.stop();
      connections.forEach(destroy);
    },
    resetConnections: (fromIp) =>
      connections.forEach((connection) => {
        if (fromIp === undefined || connection.fromIp === fromIp) destroy(connection);
      }),
    connectionCount: () => connections.size,
  };
};
