import type * as http from 'node:http';
import type { Socket } from 'node:net';

/** The answer of a target whose bytes don't end until the client closes the connection. */
export interface EndlessAnswer {
  /** Written first; may depend on the request. */
  readonly start?: (request: http.IncomingMessage) => string;
  /** Written again and again after `start`. */
  readonly repeated: string;
  readonly bytesPerWrite?: number;
  readonly intervalMs?: number;
}

/** What an endless target has seen. */
export interface EndlessCounts {
  readonly requests: number;
  readonly closedConnections: number;
  /** Bytes written on all connections, including those that the client never read. */
  readonly sentBytes: number;
}

/** A listener that sends an answer without end, and its counts. */
export interface EndlessTarget {
  readonly listener: http.RequestListener;
  readonly counts: () => EndlessCounts;
}

const defaultBytesPerWrite = 16_384;

/** Creates a target that answers each request with bytes that don't end. */
export const createEndlessTarget = ({
  start = () => '',
  repeated,
  bytesPerWrite = defaultBytesPerWrite,
  intervalMs = 1,
}: EndlessAnswer): EndlessTarget => {
  const filler = Buffer.from(repeated.repeat(Math.ceil(bytesPerWrite / repeated.length)));
  const counts = { requests: 0, closedConnections: 0, sentBytes: 0 };

  const write = (socket: Socket, bytes: Buffer) => {
    if (socket.destroyed || socket.writableNeedDrain) return;
    counts.sentBytes += bytes.length;
    socket.write(bytes);
  };

  return {
    listener: (request) => {
      const { socket } = request;
      request.resume();
      counts.requests += 1;
      socket.on('error', () => {});
      const timer = setInterval(() => write(socket, filler), intervalMs);
      socket.once('close', () => {
        clearInterval(timer);
        counts.closedConnections += 1;
      });
      write(socket, Buffer.from(start(request)));
    },
    counts: () => ({ ...counts }),
  };
};
