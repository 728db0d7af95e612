import type * as http from 'node:http';
import * as intake from '@comfreydrum/intake';
import { createRefusal, type Refusal } from './Refusal';

/** A complete request body, or the reason for its absence. */
export type BodyResult =
  | { readonly kind: 'body'; readonly body: Buffer }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'caller-gone' };

const step = 'read body';

const tooLarge = (maxBodyBytes: number): BodyResult => ({
  kind: 'refused',
  refusal: createRefusal({
    step,
    statusCode: 413,
    code: 'body_too_large',
    message: `the request body is larger than ${maxBodyBytes} bytes`,
  }),
});

const tooSlow = (bodyTimeoutMs: number): BodyResult => ({
  kind: 'refused',
  refusal: createRefusal({
    step,
    statusCode: 408,
    code: 'body_timeout',
    message: `the request body did not arrive within ${bodyTimeoutMs} ms`,
  }),
});

/** Reads a request body within the size and time limits. */
export const readBody = (
  request: http.IncomingMessage,
  limits: { readonly maxBodyBytes: number; readonly bodyTimeoutMs: number },
): Promise<BodyResult> => {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > limits.maxBodyBytes) {
    return Promise.resolve(tooLarge(limits.maxBodyBytes));
  }
  return new Promise((resolve) => {
    const buffer = intake.createBodyBuffer(declaredBytes || limits.maxBodyBytes);
    let timer: NodeJS.Timeout | undefined;
    const finish = (result: BodyResult) => {
      clearTimeout(timer);
      request.removeAllListeners('data');
      resolve(result);
    };
    timer = setTimeout(() => finish(tooSlow(limits.bodyTimeoutMs)), limits.bodyTimeoutMs);
    request.on('data', (chunk: Buffer) => {
      if (buffer.sizeBytes() + chunk.length > limits.maxBodyBytes) {
        finish(tooLarge(limits.maxBodyBytes));
        return;
      }
      buffer.append(chunk);
    });
    request.once('end', () => finish({ kind: 'body', body: buffer.bytes() }));
    request.once('close', () => finish({ kind: 'caller-gone' }));
    request.once('error', () => finish({ kind: 'caller-gone' }));
  });
};
