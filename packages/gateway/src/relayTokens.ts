import type * as http from 'node:http';
import * as errors from '@comfreydrum/errors';
import type * as targetClient from '@comfreydrum/target-client';
import { createTokenFilter } from './createTokenFilter';

/** The result of relaying one response; `deliveredTokens` includes the tokens of earlier attempts. */
export type RelayResult =
  | { readonly kind: 'complete'; readonly deliveredTokens: number }
  | { readonly kind: 'broken'; readonly deliveredTokens: number; readonly reason: string }
  | { readonly kind: 'caller-gone'; readonly deliveredTokens: number };

/** Options for relaying a response. */
export interface RelayOptions {
  readonly body: targetClient.ResponseBody;
  readonly response: http.ServerResponse;
  readonly requestId: string;
  readonly deliveredTokens: number;
  readonly onToken: () => void;
  readonly onChunk: () => void;
}

/**
 * Relays the events of a target's response to the caller with backpressure. The end-of-stream event ends
 * the caller's response; a stream that ends without it is reported as broken.
 */
export const relayTokens = (options: RelayOptions): Promise<RelayResult> =>
  new Promise((resolve) => {
    const { body, response } = options;
    const filter = createTokenFilter(options);
    const resume = () => body.resume();

    const settle = (reason: string) => {
      response.off('drain', resume);
      const { deliveredTokens, complete } = filter.state();
      if (complete) resolve({ kind: 'complete', deliveredTokens });
      else if (response.destroyed) resolve({ kind: 'caller-gone', deliveredTokens });
      else resolve({ kind: 'broken', deliveredTokens, reason });
    };

    const write = (text: string) => {
      if (text === '' || response.writableEnded) return;
      if (filter.state().complete) response.end(text);
      else if (!response.write(text)) body.pause();
    };

    response.on('drain', resume);
    response.once('close', () => {
      if (!filter.state().complete) settle('the caller closed the connection');
    });
    body.read({
      onChunks: (chunks) => {
        options.onChunk();
        write(filter.feed(chunks));
        const { fault } = filter.state();
        if (fault === undefined) return;
        settle(fault);
        body.discard();
      },
      onEnd: (cause) =>
        settle(cause ? errors.describeCause(cause) : 'the target ended the stream early'),
    });
  });
