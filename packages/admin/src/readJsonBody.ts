import type * as http from 'node:http';
import * as errors from '@comfreydrum/errors';
import * as intake from '@comfreydrum/intake';

/** Why the body of a request was rejected. */
export type InvalidBody = errors.Failure<'body-invalid'>;

const maxBodyBytes = 1_000_000;

/** Reads a JSON body of at most 1 MB. */
export const readJsonBody = async (
  request: http.IncomingMessage,
): Promise<errors.Result<unknown, InvalidBody>> => {
  const fail = (message: string) =>
    errors.err<InvalidBody>({
      kind: 'body-invalid',
      step: 'read body',
      peer: request.socket.remoteAddress ?? 'operator',
      message,
    });
  const buffer = intake.createBodyBuffer(maxBodyBytes);
  for await (const chunk of request as AsyncIterable<Buffer>) {
    if (buffer.sizeBytes() + chunk.length > maxBodyBytes) {
      return fail(`the body is larger than ${maxBodyBytes} bytes`);
    }
    buffer.append(chunk);
  }
  try {
    return errors.ok(JSON.parse(buffer.bytes().toString('utf8')));
  } catch (cause) {
    return fail(`the body is not JSON: ${errors.describeCause(cause)}`);
  }
};
