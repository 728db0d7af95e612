import type * as http from 'node:http';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from './testing/callers';
import type { TestRelay } from './testing/createTestRelay';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('close-delimited answers whose target ends');

const endDelayMs = 60;

const beginAnswer = (request: http.IncomingMessage, response: http.ServerResponse) => {
  request.resume();
  Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
  response.writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's' });
  response.write('half of ');
};

/** Calls a relay whose first target ends in the middle of its answer, and whose second one answers whole. */
const callEndingTarget = async (
  kind: 'idempotent' | 'non-idempotent',
  end: (relay: TestRelay, response: http.ServerResponse) => void,
) => {
  let relay: TestRelay | undefined;
  const targets = [
    {
      id: 't1',
      listener: (request: http.IncomingMessage, response: http.ServerResponse) => {
        beginAnswer(request, response);
        setTimeout(() => end(relay!, response), endDelayMs);
      },
    },
    {
      id: 't2',
      listener: (request: http.IncomingMessage, response: http.ServerResponse) => {
        beginAnswer(request, response);
        response.end('it');
      },
    },
  ];
  const route = { kind, maxTargets: 2, latencyTargetMs: 2_000 };
  let answer: Awaited<ReturnType<typeof call>> | undefined;
  await withRelay({ targets, route }, async (started) => {
    relay = started;
    answer = await call(started.url);
  });
  return answer!;
};

test('are not taken for whole: an idempotent request runs on another target', async () => {
  const { status, text } = await callEndingTarget('idempotent', (relay) => relay.endTarget('t1'));
  assert.equal([status, text], [200, 'half of it']);
});

test('are not taken for whole: the outcome of another request is unknown', async () => {
  const { status } = await callEndingTarget('non-idempotent', (relay) => relay.endTarget('t1'));
  assert.is(status, 502);
});

test('are whole where the target leaves and has closed its listener', async () => {
  const { status, text } = await callEndingTarget('non-idempotent', (relay, response) => {
    relay.leave('t1');
    response.end('this');
  });
  assert.equal([status, text], [200, 'half of this']);
});

test.run();
