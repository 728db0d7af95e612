import type * as http from 'node:http';
import type { Refusal } from './Refusal';

const msPerSecond = 1_000;

/** Time for the system to deliver the forwarded events before a reset, which drops unsent data. */
const resetDelayMs = 20;

/** Ends a response that has started so that it can't be mistaken for a complete one. */
const cutOff = ({ socket, chunkedEncoding }: http.ServerResponse) => {
  // Without the terminating chunk a response in chunks is incomplete.
  if (chunkedEncoding) socket?.destroySoon();
  else setTimeout(() => socket?.resetAndDestroy(), resetDelayMs);
};

/** Writes a refusal to the caller. A stream that has already started is cut off after the forwarded events. */
export const writeRefusal = (
  response: http.ServerResponse,
  refusal: Refusal,
  headers: Readonly<Record<string, string>>,
): void => {
  if (response.destroyed || response.writableEnded) return;
  if (response.headersSent) {
    cutOff(response);
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
