import type * as http from 'node:http';
import type { Refusal } from './Refusal';

const msPerSecond = 1_000;

/**
 * Writes a refusal to the caller. A stream that has already started is closed after the forwarded events without
 * the terminating chunk of HTTP chunked encoding, so that it can't be mistaken for a complete one.
 */
export const writeRefusal = (
  response: http.ServerResponse,
  refusal: Refusal,
  headers: Readonly<Record<string, string>>,
): void => {
  if (response.destroyed || response.writableEnded) return;
  if (response.headersSent) {
    response.socket?.destroySoon();
    return;
  }
  const { cause, statusCode, ran, message, retryAfterMs } = refusal;
  const body = JSON.stringify({ error: { cause, ran, message } });
  response.writeHead(statusCode, {
    ...headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...(retryAfterMs === undefined
      ? {}
      : { 'retry-after': (retryAfterMs / msPerSecond).toFixed(2) }),
  });
  response.end(body);
};
