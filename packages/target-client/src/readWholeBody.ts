import * as errors from '@comfreydrum/errors';
import type { ResponseBody } from './createResponseBody';

/** Why a body could not be read completely. */
export type BodyFailure = errors.Failure<'answer-too-large' | 'answer-broken'>;

/** Reads the complete body of a peer's response; fails when it exceeds `maxBytes`. `onSize` is told the bytes read so far. */
export const readWholeBody = (
  body: ResponseBody,
  peer: string,
  maxBytes: number,
  onSize: (sizeBytes: number) => void = () => {},
): Promise<errors.Result<Buffer, BodyFailure>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const fail = (kind: BodyFailure['kind'], message: string) =>
      resolve(errors.err({ kind, step: 'read answer', peer, message }));
    body.read({
      onChunks: (arrived) => {
        // Joined, because each Buffer takes about a hundred bytes of its own and a chunk may be a single byte.
        const joined = arrived.length === 1 ? arrived[0]! : Buffer.concat(arrived);
        chunks.push(joined);
        sizeBytes += joined.length;
        onSize(sizeBytes);
        if (sizeBytes <= maxBytes) return;
        chunks.length = 0;
        fail('answer-too-large', `the answer of ${peer} is larger than ${maxBytes} bytes`);
        body.discard();
      },
      onEnd: (cause) => {
        if (cause === undefined) resolve(errors.ok(Buffer.concat(chunks)));
        else {
          const text = errors.describeCause(cause);
          fail('answer-broken', `the answer of ${peer} was cut off: ${text}`);
        }
      },
    });
  });
