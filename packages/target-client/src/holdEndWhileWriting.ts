import type { Socket } from 'node:net';

type Emit = (event: string | symbol, ...values: unknown[]) => boolean;

/** Longer than a round trip between failure domains. */
const maxHeldEndMs = 100;

/**
 * Holds back the event 'end' of a socket that is still writing a request, while its response `isBeingRead`. A reset that
 * arrives together with data looks like a plain end and shows only in the pending write. A peer that has closed the connection
 * resets it when more of the request arrives; one that has ended only its own side reads on. Without a reset, the response
 * ends with the close of the socket, which follows the written request, or when the time is over.
 */
export const holdEndWhileWriting = (socket: Socket, isBeingRead: () => boolean): void => {
  const emit: Emit = socket.emit.bind(socket);
  const emitEnd = () => {
    if (!socket.destroyed) emit('end');
  };
  const holdEnd = () => {
    // A busy process may find the end of the time and the reset in the same iteration of the event loop.
    const timer = setTimeout(() => setImmediate(emitEnd), maxHeldEndMs);
    socket.once('close', () => clearTimeout(timer));
    return true;
  };
  const emitOrHold: Emit = (event, ...values) =>
    event === 'end' && socket.writableLength > 0 && isBeingRead()
      ? holdEnd()
      : emit(event, ...values);
  Object.assign(socket, { emit: emitOrHold });
};
