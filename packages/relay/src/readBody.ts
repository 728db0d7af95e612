import type * as http from 'node:http';
import * as intake from '@comfreydrum/intake';
import type * as fleet from '@comfreydrum/fleet';
import type { ByteBudget, Holding } from './memory/createByteBudget';
import { createNotRunRefusal, createShutdownRefusal, type Refusal } from './Refusal';

/** A caller's request body, or why it could not be read. */
export type BodyResult =
  | { readonly kind: 'body'; readonly bytes: Buffer | null; readonly holding: Holding }
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

const noRoom = ({ limitBytes }: ByteBudget, retryAfterMs: number): BodyResult => {
  const text = `the request bodies in memory have over ${limitBytes} bytes`;
  return { kind: 'refused', refusal: createNotRunRefusal('memory-full', text, retryAfterMs) };
};

/** Refuses a body that was read within a higher size limit. */
export const limitBody = (
  body: BodyResult,
  { maxBodyBytes }: Pick<fleet.CallerLimits, 'maxBodyBytes'>,
): BodyResult => {
  if (body.kind !== 'body' || (body.bytes?.length ?? 0) <= maxBodyBytes) return body;
  body.holding.release();
  return tooLarge(maxBodyBytes);
};

/** Where request bodies count, and when there should be room again once there is none. */
export interface BodyMemory {
  readonly budget: ByteBudget;
  readonly retryAfterMs: number;
}

/** A request body that is being read. */
export interface BodyReading {
  readonly result: Promise<BodyResult>;
  /** Drops what was read; the result is of no use then. */
  readonly abandon: () => void;
}

/**
 * Reads a request body up to the size limit; refuses it when no data arrives for the idle timeout, or when the bodies in
 * memory leave no room for it or `mustEnd` aborts. The reader of a body releases its holding.
 */
export const readBody = (
  message: http.IncomingMessage,
  { maxBodyBytes, idleTimeoutMs }: fleet.CallerLimits,
  { budget, retryAfterMs }: BodyMemory,
  mustEnd: AbortSignal,
): BodyReading => {
  const declaredBytes = Number(message.headers['content-length'] ?? 0);
  if (declaredBytes > maxBodyBytes) {
    return { result: Promise.resolve(tooLarge(maxBodyBytes)), abandon: () => {} };
  }
  const hasBody = declaredBytes > 0 || message.headers['transfer-encoding'] !== undefined;
  let abandon = () => {};
  const reading = new Promise<BodyResult>((resolve) => {
    const buffer = intake.createBodyBuffer(declaredBytes || maxBodyBytes);
    let isDone = false;
    let holding: Holding;
    let timer: NodeJS.Timeout;
    let stop = () => {};
    const finish = (result: BodyResult) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      mustEnd.removeEventListener('abort', stop);
      if (result.kind !== 'body') {
        buffer.clear();
        holding.release();
      }
      resolve(result);
    };
    timer = setTimeout(() => finish(tooSlow(idleTimeoutMs)), idleTimeoutMs);
    holding = budget.hold(() => finish(noRoom(budget, retryAfterMs)));
    holding.resize(declaredBytes);
    message.on('data', (chunk: Buffer) => {
      if (isDone) return;
      timer.refresh();
      if (buffer.sizeBytes() + chunk.length > maxBodyBytes) {
        finish(tooLarge(maxBodyBytes));
        return;
      }
      buffer.append(chunk);
      holding.resize(Math.max(declaredBytes, buffer.heldBytes()));
    });
    message.once('end', () => {
      if (isDone) return;
      holding.pin();
      finish({ kind: 'body', bytes: hasBody ? buffer.bytes() : null, holding });
    });
    abandon = () => finish({ kind: 'caller-gone' });
    message.once('close', abandon);
    message.once('error', abandon);
    stop = () => finish({ kind: 'refused', refusal: createShutdownRefusal() });
    mustEnd.addEventListener('abort', stop, { once: true });
    if (mustEnd.aborted) stop();
  });
  return { result: reading, abandon };
};
