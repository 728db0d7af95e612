import type * as http from 'node:http';

/** How much of a refused body is read on. */
export interface DiscardBounds {
  /** What a caller inside the limits may still send. */
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

/**
 * Reads on after a request was refused before its body had come, since a reset could take the refusal from a caller that still
 * sends. Beyond the bounds the connection is closed.
 */
export const discardRefusedBody = (
  request: http.IncomingMessage,
  { maxBytes, timeoutMs }: DiscardBounds,
): void => {
  if (request.complete || request.destroyed) return;
  let sizeBytes = 0;
  const close = () => request.socket.destroy();
  const timer = setTimeout(close, timeoutMs).unref();
  const release = () => clearTimeout(timer);
  request.once('end', release);
  request.once('close', release);
  request.on('data', (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes > maxBytes) close();
  });
  request.resume();
};
