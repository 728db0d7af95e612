import type * as http from 'node:http';
import { setImmediate as nextEventLoopTurn } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import type * as targetClient from '@comfreydrum/target-client';
import { relayTokens, type RelayResult } from './relayTokens';
import { withServer } from '../../target-client/src/testing/withServer';

const test = uvu.suite('relay tokens');

const event = (index: number, id = 'chatcmpl-r1') =>
  `data: ${JSON.stringify({ id, token_index: index })}\n\n`;
const done = 'data: [DONE]\n\n';

/** Creates a body that delivers one chunk per event loop turn until it is discarded. */
const createBody = (chunks: readonly string[]): targetClient.ResponseBody => {
  let isDiscarded = false;
  const feed = async ({ onChunks, onEnd }: targetClient.BodyReader) => {
    for (const chunk of chunks) {
      await nextEventLoopTurn();
      if (isDiscarded) return;
      onChunks([Buffer.from(chunk)]);
    }
    onEnd();
  };
  return {
    read: (reader) => {
      void feed(reader);
    },
    pause: () => {},
    resume: () => {},
    discard: () => {
      isDiscarded = true;
    },
  };
};

/** Relays chunks to an HTTP response; returns the result and the text that the caller received. */
const relay = async (chunks: readonly string[], deliveredTokens = 0) => {
  let result: RelayResult | undefined;
  let received = '';
  const listener: http.RequestListener = (_request, response) => {
    const body = createBody(chunks);
    void relayTokens({
      body,
      response,
      requestId: 'r1',
      deliveredTokens,
      onToken: () => {},
      onChunk: () => {},
    }).then((outcome) => {
      result = outcome;
      if (!response.writableEnded) response.end();
    });
  };
  await withServer(listener, async (url) => {
    received = await (await fetch(url)).text();
  });
  return { result, received };
};

test('relays complete events that are split across chunks', async () => {
  const text = event(0) + event(1) + done;
  const { result, received } = await relay([text.slice(0, 11), text.slice(11, 40), text.slice(40)]);
  assert.equal(result, { kind: 'complete', deliveredTokens: 2 });
  assert.is(received, text);
});

test('skips events that earlier attempts delivered', async () => {
  const { result, received } = await relay([event(0) + event(1) + event(2) + done], 2);
  assert.equal(result, { kind: 'complete', deliveredTokens: 3 });
  assert.is(received, event(2) + done);
});

const expectBroken = (name: string, chunks: readonly string[], reason: string) =>
  test(name, async () => {
    const { result, received } = await relay(chunks);
    assert.is(result?.kind, 'broken');
    assert.match(result?.kind === 'broken' ? result.reason : '', reason);
    assert.is(received, event(0));
  });

expectBroken('fails on a gap in token indexes', [event(0), event(2)], 'skipped from token 1 to 2');
expectBroken(
  'fails on an event of another request',
  [event(0), event(1, 'x-r2')],
  'of request x-r2',
);
expectBroken('fails on an early end of the stream', [event(0)], 'ended the stream early');
expectBroken('fails on a truncated event', [event(0), 'data: {"id"'], 'ended the stream early');
expectBroken('fails on an event that is not JSON', [event(0), 'data: {\n\n'], 'not JSON');

test.run();
