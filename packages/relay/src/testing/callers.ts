import * as http from 'node:http';
import { testKey, testModel } from './createTestRelay';

/** The response that a caller received. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  /** Whether the response ended regularly. */
  readonly isComplete: boolean;
}

export interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Closes the connection after this time. */
  readonly disconnectAfterMs?: number;
  readonly path?: string;
}

/** Sends a request on a new connection and returns whatever was received. */
export const call = (url: string, options: CallOptions = {}): Promise<CallerResponse> =>
  new Promise((resolve) => {
    const request = http.request(`${url}${options.path ?? '/drafts/1'}`, {
      method: options.method ?? 'POST',
      agent: false,
      headers: { 'x-id': 'r1', 'x-key': testKey, 'x-model': testModel, ...options.headers },
    });
    const none = { status: 0, headers: {}, text: '', isComplete: false };
    let hasBegun = false;
    let hasFailed = false;
    request.on('error', () => {
      hasFailed = true;
      if (!hasBegun) resolve(none);
    });
    request.on('response', (response) => {
      hasBegun = true;
      let text = '';
      const finish = () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          text,
          // Node.js sets `complete` also when a response without a length is reset.
          isComplete: response.complete && !hasFailed,
        });
      response.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      response.on('close', finish);
      response.on('error', () => {});
    });
    if (options.disconnectAfterMs !== undefined) {
      setTimeout(() => request.destroy(), options.disconnectAfterMs);
    }
    request.end(options.body ?? '{}');
  });
