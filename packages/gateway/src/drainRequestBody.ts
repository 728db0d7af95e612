import type * as http from 'node:http';

const maxDiscardedBytes = 67_108_864;
const maxDiscardMs = 2_000;

/**
 * Reads and discards the rest of a request body, up to a time and size limit. Closing a connection with
 * unread bytes resets it, and a reset can discard the response before the caller reads it.
 */
export const drainRequestBody = (request: http.IncomingMessage): Promise<void> =>
  new Promise((resolve) => {
    if (request.readableEnded || request.destroyed) {
      resolve();
      return;
    }
    let discardedBytes = 0;
    const timer = setTimeout(resolve, maxDiscardMs);
    const finish = () => {
      clearTimeout(timer);
      resolve();
    };
    request.on('data', (chunk: Buffer) => {
      discardedBytes += chunk.length;
      if (discardedBytes > maxDiscardedBytes) finish();
    });
    request.once('end', finish);
    request.once('close', finish);
    request.resume();
  });
