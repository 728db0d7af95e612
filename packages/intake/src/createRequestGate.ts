import * as http from 'node:http';
import type * as net from 'node:net';
import type { ReadPacer } from './createReadPacer';

/** Why a request was not let in. */
export type GateRefusal =
  /** Its connection is gone. */
  | 'closed'
  /** The process has as many requests in progress as it may, or their heads have as many fields. */
  | 'full';

/** Bounds the requests that callers have in progress. */
export interface RequestGate {
  /** The class of the messages of the server. With it, a connection is closed at the first request beyond its bound. */
  readonly IncomingMessage: typeof http.IncomingMessage;
  /** Lets a request in until its response is closed; otherwise returns why not. */
  readonly enter: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) => GateRefusal | undefined;
  /** Returns the number of requests in progress, on one connection or on all. */
  readonly openCount: (socket?: net.Socket) => number;
  /** Reports whether the latest request on a connection has not arrived as a whole. */
  readonly isReceiving: (socket: net.Socket) => boolean;
  /** Returns the number of connections closed because of requests that were sent ahead. */
  readonly closedCount: () => number;
}

/** Bounds of a gate. */
export interface GateOptions {
  /** Requests that a connection may have without a complete answer. */
  readonly maxRequestsPerConnection: number;
  readonly maxRequests: number;
  /** Header fields that all requests in progress may have together; each takes memory of its own. */
  readonly maxHeaderFields: number;
  /** Is told of each piece of a body, and decides when the next ones are read. */
  readonly pacer?: Pick<ReadPacer, 'onPiece' | 'mayResume'>;
}

interface ConnectionState {
  open: number;
  fields: number;
  latest: http.IncomingMessage | undefined;
}

/** Creates a gate without requests. */
export const createRequestGate = ({
  maxRequestsPerConnection,
  maxRequests,
  maxHeaderFields,
  pacer,
}: GateOptions): RequestGate => {
  const countsBySocket = new WeakMap<net.Socket, ConnectionState>();
  let openCount = 0;
  let fieldCount = 0;
  let closedCount = 0;

  const countsOf = (socket: net.Socket) => {
    const known = countsBySocket.get(socket);
    if (known !== undefined) return known;
    const counts: ConnectionState = { open: 0, fields: 0, latest: undefined };
    countsBySocket.set(socket, counts);
    // Responses that wait for an earlier one on the same connection are not told of its end.
    socket.once('close', () => {
      openCount -= counts.open;
      fieldCount -= counts.fields;
      counts.open = 0;
      counts.fields = 0;
    });
    return counts;
  };

  const isBeyondBound = (socket: net.Socket): boolean =>
    countsOf(socket).open >= maxRequestsPerConnection;

  class GatedMessage extends http.IncomingMessage {
    override push(piece: unknown, encoding?: BufferEncoding): boolean {
      if (piece !== null) pacer?.onPiece(this.socket);
      return super.push(piece, encoding);
    }

    // The method of Node.js that resumes the connection.
    // eslint-disable-next-line no-underscore-dangle
    override _read(size: number): void {
      if (pacer?.mayResume(this.socket) === false) return;
      // eslint-disable-next-line no-underscore-dangle
      super._read(size);
    }
  }

  const beyondBound = new WeakSet<GatedMessage>();
  const upgrades = new WeakSet<GatedMessage>();
  // Node.js parses and begins all requests that have arrived, unless one asks for an upgrade. The parser sets the property before
  // it begins the request.
  Object.defineProperty(GatedMessage.prototype, 'upgrade', {
    get(this: GatedMessage) {
      return beyondBound.has(this) || upgrades.has(this);
    },
    set(this: GatedMessage, isUpgrade: boolean | null) {
      if (isUpgrade === true) upgrades.add(this);
      else upgrades.delete(this);
      // The constructor sets it to null.
      if (isUpgrade !== null || !isBeyondBound(this.socket)) return;
      beyondBound.add(this);
      closedCount += 1;
      this.socket.destroy();
    },
  });

  return {
    IncomingMessage: GatedMessage,
    enter: (request, response) => {
      const { socket } = request;
      if (socket.destroyed) return 'closed';
      const counts = countsOf(socket);
      const fields = request.rawHeaders.length / 2;
      counts.open += 1;
      counts.fields += fields;
      counts.latest = request;
      openCount += 1;
      fieldCount += fields;
      response.once('close', () => {
        if (counts.open === 0) return;
        counts.open -= 1;
        counts.fields -= fields;
        openCount -= 1;
        fieldCount -= fields;
      });
      return openCount > maxRequests || fieldCount > maxHeaderFields ? 'full' : undefined;
    },
    openCount: (socket) =>
      socket === undefined ? openCount : (countsBySocket.get(socket)?.open ?? 0),
    isReceiving: (socket) => {
      const { open = 0, latest } = countsBySocket.get(socket) ?? {};
      return open > 0 && latest?.complete === false;
    },
    closedCount: () => closedCount,
  };
};
