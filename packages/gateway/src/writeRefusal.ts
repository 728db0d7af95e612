import type * as http from 'node:http';
import type { Refusal } from './Refusal';

const millisecondsPerSecond = 1_000;

const errorType = (statusCode: number): string => {
  if (statusCode === 401) return 'authentication_error';
  if (statusCode === 403) return 'permission_error';
  if (statusCode === 429) return 'rate_limit_error';
  return statusCode < 500 ? 'invalid_request_error' : 'server_error';
};

/** Returns the error body of a refusal: the common format of chat completion APIs with extra fields. */
const refusalBody = (refusal: Refusal, requestId: string) => ({
  error: {
    message: refusal.message,
    type: errorType(refusal.statusCode),
    code: refusal.code,
    param: null,
    ran: refusal.ran,
    refused_by: refusal.step,
    request_id: requestId,
    ...(refusal.retryAfterMs === undefined ? {} : { retry_after_ms: refusal.retryAfterMs }),
  },
});

/** Returns the value of a Retry-After header in whole seconds, at least 1. */
export const retryAfterSeconds = (retryAfterMs: number): number =>
  Math.max(1, Math.ceil(retryAfterMs / millisecondsPerSecond));

/**
 * Sends a refusal as the response to a request. If the head of a streamed response was already sent, an
 * error event ends the stream instead. The body is written immediately, but the response ends only once
 * `requestDrained` resolves.
 */
export const writeRefusal = (
  response: http.ServerResponse,
  refusal: Refusal,
  requestId: string,
  requestDrained: Promise<void> = Promise.resolve(),
): void => {
  if (response.destroyed || response.writableEnded) return;
  const body = JSON.stringify(refusalBody(refusal, requestId));
  if (response.headersSent) {
    response.end(`data: ${body}\n\n`);
    return;
  }
  response.writeHead(refusal.statusCode, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'x-request-id': requestId,
    'x-comfreydrum-ran': refusal.ran,
    'x-comfreydrum-refused-by': refusal.step,
    ...(refusal.retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(retryAfterSeconds(refusal.retryAfterMs)) }),
  });
  response.write(body);
  void requestDrained.then(() => response.end());
};
