import type * as http from 'node:http';
import type * as fleet from '@comfreydrum/fleet';
import type { Refusal } from './Refusal';

/** A caller's request body, or why it could not be read. */
export type BodyResult =
  | { readonly kind: 'body'; readonly bytes: Buffer | null }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'caller-gone' };

const tooLarge = (maxBodyBytes: number): BodyResult => ({
  kind: 'refused',
  refusal: {
    cause: 'body-too-large',
    statusCode: 413,
    ran: 'not-run',
    message: `the request body is larger than ${maxBodyBytes} bytes`,
  },
});

const tooSlow = (timeoutMs: number): BodyResult => ({
  kind: 'refused',
  refusal: {
    cause: 'body-too-slow',
    statusCode: 408,
    ran: 'not-run',
    message: `the request body stood still for ${timeoutMs} ms`,
  },
});

/** Reads a request body up to the size limit; refuses it when no data arrives for the idle timeout. */
export const readBody = (
  message: http.IncomingMessage,
  { maxBodyBytes, idleTimeoutMs }: fleet.CallerLimits,
): Promise<BodyResult> => {
  const declaredBytes = Number(message.headers['content-length'] ?? 0);
  if (declaredBytes > maxBodyBytes) return Promise.resolve(tooLarge(maxBodyBytes));
  const hasBody = declaredBytes > 0 || message.headers['transfer-encoding'] !== undefined;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const timer = setTimeout(() => resolve(tooSlow(idleTimeoutMs)), idleTimeoutMs);
    const finish = (result: BodyResult) => {
      clearTimeout(timer);
      resolve(result);
    };
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      timer.refresh();
      if (sizeBytes > maxBodyBytes) finish(tooLarge(maxBodyBytes));
      else chunks.push(chunk);
    });
    message.once('end', () =>
      finish({ kind: 'body', bytes: hasBody ? Buffer.concat(chunks) : null }),
    );
    message.once('close', () => finish({ kind: 'caller-gone' }));
    message.once('error', () => finish({ kind: 'caller-gone' }));
  });
};
