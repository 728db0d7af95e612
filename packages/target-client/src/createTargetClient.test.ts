import type * as http from 'node:http';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createTargetClient } from './createTargetClient';
import { readWholeBody } from './readWholeBody';
import { withServer } from './testing/withServer';

const test = uvu.suite('target client');

const post = async (url: string, mayWrite: () => boolean, localAddress?: string) => {
  const client = createTargetClient(localAddress);
  const sent = await client.send({
    url,
    path: '/filings',
    method: 'POST',
    headers: {},
    body: '{}',
    signal: AbortSignal.timeout(5_000),
    mayWrite,
  });
  if (sent.ok) await readWholeBody(sent.value.body, url, 1_024);
  await client.close();
  return sent.ok ? 'ran' : sent.error.ran;
};

test('calls mayWrite only once a connection is open', () =>
  withServer(
    () => {},
    async (url, stop) => {
      await stop();
      let asked = 0;
      const mayWrite = () => {
        asked += 1;
        return true;
      };
      assert.is(await post(url, mayWrite), 'not-run');
      assert.is(asked, 0);
    },
  ));

test('sends nothing when mayWrite returns false at the time of the write', async () => {
  let reached = 0;
  const listener: http.RequestListener = (_request, response) => {
    reached += 1;
    response.end();
  };
  await withServer(listener, async (url) => {
    assert.is(await post(url, () => false), 'not-run');
    assert.is(reached, 0);
    assert.is(await post(url, () => true), 'ran');
    assert.is(reached, 1);
  });
});

test('connects from the configured local address', async () => {
  let calledFrom: string | undefined;
  const listener: http.RequestListener = (request, response) => {
    calledFrom = request.socket.remoteAddress;
    response.end();
  };
  await withServer(listener, async (url) => {
    assert.is(await post(url, () => true, '127.0.0.2'), 'ran');
    assert.is(calledFrom, '127.0.0.2');
  });
});

test('reports a request as unknown when the connection fails after it was written', () =>
  withServer(
    (request) => request.socket.destroy(),
    async (url) => {
      assert.is(await post(url, () => true), 'unknown');
    },
  ));

test.run();
