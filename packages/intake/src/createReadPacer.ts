import type * as net from 'node:net';

/** Shares the event loop between connections whose bodies come in many small pieces, and everything else. */
export interface ReadPacer {
  readonly add: (socket: net.Socket) => void;
  /** Records that a piece of a body has arrived on a connection. */
  readonly onPiece: (socket: net.Socket) => void;
  /** Reports whether a connection may be resumed now; otherwise the pacer resumes it later. */
  readonly mayResume: (socket: net.Socket) => boolean;
  /** Returns how often a connection has had to wait for its turn. */
  readonly deferralCount: () => number;
}

/** One read brings up to 64 KiB of a connection, whatever the number of pieces. */
const defaultMaxPieces = 1_024;

/**
 * Creates a pacer without connections. A connection that brings the pieces read in an iteration of the event loop to
 * `maxPieces` waits for its turn; one of those that wait is read in each iteration, until it brings fewer. The others are read
 * on in the next iteration.
 */
export const createReadPacer = (maxPieces: number = defaultMaxPieces): ReadPacer => {
  const sockets = new Set<net.Socket>();
  /** Connections that wait for their turn, in its order. */
  const waiting = new Set<net.Socket>();
  /** Connections to resume once they may be read. */
  const paused = new Set<net.Socket>();
  let isHalted = false;
  let pieceCount = 0;
  let current: net.Socket | undefined;
  let currentPieceCount = 0;
  let isScheduled = false;
  let deferralCount = 0;

  const pause = (socket: net.Socket) => {
    // Node.js has paused it itself if nobody reads its body.
    if (socket.isPaused()) return;
    socket.pause();
    paused.add(socket);
  };

  const resume = (socket: net.Socket) => {
    if (paused.delete(socket)) socket.resume();
  };

  const defer = (socket: net.Socket) => {
    deferralCount += 1;
    waiting.add(socket);
    pause(socket);
  };

  const beginIteration = () => {
    isHalted = false;
    pieceCount = 0;
    [current] = waiting;
    currentPieceCount = 0;
    if (current !== undefined) waiting.delete(current);
    paused.forEach((socket) => {
      if (!waiting.has(socket)) resume(socket);
    });
    isScheduled = current !== undefined;
    if (isScheduled) setImmediate(beginIteration);
  };

  const schedule = () => {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(beginIteration);
  };

  return {
    add: (socket) => {
      sockets.add(socket);
      socket.once('close', () => {
        sockets.delete(socket);
        waiting.delete(socket);
        paused.delete(socket);
      });
    },
    onPiece: (socket) => {
      // The rest of a read.
      if (waiting.has(socket)) return;
      schedule();
      if (socket === current) {
        currentPieceCount += 1;
        if (currentPieceCount >= maxPieces) defer(socket);
        return;
      }
      pieceCount += 1;
      if (pieceCount < maxPieces) return;
      defer(socket);
      if (isHalted) return;
      isHalted = true;
      sockets.forEach(pause);
    },
    mayResume: (socket) => {
      if (!waiting.has(socket) && !paused.has(socket)) return true;
      paused.add(socket);
      return false;
    },
    deferralCount: () => deferralCount,
  };
};
