import { setTimeout as delay } from 'node:timers/promises';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createTargetClient, type TargetClient } from './createTargetClient';
import { createResponseBody } from './createResponseBody';
import { readWholeBody } from './readWholeBody';
import { withServer } from './testing/withServer';

const test = uvu.suite('answers without end at the target client');

const timeLimitMs = 2_000;
/** Far below the time limit, which would also end the request. */
const soonMs = 1_000;
const maxBodyBytes = 65_536;
/** More than the head and the body may have together, and less than is sent within the time limit. */
const maxSentBytes = 1_048_576;

const chunkedHead = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

const send = async (url: string, client: TargetClient, timeoutMs = timeLimitMs) => {
  const sent = await client.send({
    url,
    path: '/',
    method: 'GET',
    headers: [],
    body: null,
    signal: AbortSignal.timeout(timeoutMs),
  });
  if (!sent.ok) return `failed: ${sent.error.ran}`;
  const read = await readWholeBody(sent.value.body, url, maxBodyBytes);
  return read.ok ? `body: ${read.value.toString()}` : read.error.kind;
};

const withClient = async (use: (client: TargetClient) => Promise<void>) => {
  const client = createTargetClient(undefined);
  try {
    await use(client);
  } finally {
    await client.close();
  }
};

const assertClosesSoon = async (answer: testing.EndlessAnswer, expected: string) => {
  const target = testing.createEndlessTarget(answer);
  const isClosed = () => target.counts().closedConnections === 1;
  await withServer(target.listener, (url) =>
    withClient(async (client) => {
      const startedAtMs = performance.now();
      assert.is(await send(url, client), expected);
      await testing.waitUntil(isClosed, soonMs, 'the connection to be closed');
      const tookMs = performance.now() - startedAtMs;
      const { sentBytes } = target.counts();
      assert.ok(tookMs < soonMs, `took ${tookMs} ms`);
      assert.ok(sentBytes < maxSentBytes, `the target sent ${sentBytes} bytes`);
    }),
  );
};

test('closes the connection of a target that sends a head without end: a status line', () =>
  assertClosesSoon({ start: () => 'HTTP/1.1 200 ', repeated: 'a' }, 'failed: unknown'));

test('closes the connection of a target that sends a head without end: header lines', () =>
  assertClosesSoon(
    { start: () => 'HTTP/1.1 200 OK\r\n', repeated: 'a: b\r\n' },
    'failed: unknown',
  ));

test('closes the connection of a target that sends a head without end: a header line', () =>
  assertClosesSoon({ start: () => 'HTTP/1.1 200 OK\r\na: ', repeated: 'a' }, 'failed: unknown'));

test('closes the connection of a target that sends a head without end: spaces in a header line', () =>
  assertClosesSoon({ start: () => 'HTTP/1.1 200 OK\r\na:', repeated: ' ' }, 'failed: unknown'));

test('closes the connection of a target that sends a head without end: empty lines before it', () =>
  assertClosesSoon({ repeated: '\r\n' }, 'failed: unknown'));

test('closes the connection of a target that sends a head without end: informational responses', () =>
  assertClosesSoon({ repeated: 'HTTP/1.1 102 Processing\r\n\r\n' }, 'failed: unknown'));

test('closes the connection of a target that sends bytes without end that are no HTTP', () =>
  assertClosesSoon({ repeated: 'once upon a time ' }, 'failed: unknown'));

test('closes the connection of a target that sends a body without end: with a chunk extension', () =>
  assertClosesSoon({ start: () => `${chunkedHead}5;`, repeated: 'a' }, 'answer-broken'));

test('closes the connection of a target that sends a body without end: with a chunk length', () =>
  assertClosesSoon({ start: () => chunkedHead, repeated: '0' }, 'answer-broken'));

test('closes the connection of a target that sends a body without end: with trailers', () =>
  assertClosesSoon({ start: () => `${chunkedHead}0\r\na:`, repeated: ' ' }, 'answer-broken'));

test('closes the connection of a target that sends a body without end: in chunks', () =>
  assertClosesSoon({ start: () => chunkedHead, repeated: '4\r\nhalf\r\n' }, 'answer-too-large'));

test('closes the connection of a target that sends a body without end: without a length', () =>
  assertClosesSoon({ start: () => 'HTTP/1.1 200 OK\r\n\r\n', repeated: 'a' }, 'answer-too-large'));

for (const [kind, repeated] of [
  ['text', 'surplus '],
  ['empty lines', '\r\n'],
] as const) {
  test(`closes the connection of a target that sends bytes without end after its answer: ${kind}`, () =>
    assertClosesSoon(
      { start: () => 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone', repeated },
      'body: done',
    ));
}

test('stops reading a head without end that comes slowly at the time limit', async () => {
  const limitMs = 300;
  const target = testing.createEndlessTarget({
    start: () => 'HTTP/1.1 200 ',
    repeated: 'a',
    bytesPerWrite: 1,
    intervalMs: 20,
  });
  await withServer(target.listener, (url) =>
    withClient(async (client) => {
      assert.is(await send(url, client, limitMs), 'failed: unknown');
      await testing.waitUntil(
        () => target.counts().closedConnections === 1,
        soonMs,
        'the connection to be closed',
      );
    }),
  );
});

test('accepts informational responses before an answer, and small chunks', async () => {
  const informational = 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100);
  const chunks = '1\r\na\r\n'.repeat(maxBodyBytes);
  await withServer(
    ({ socket }) => socket.write(`${informational}${chunkedHead}${chunks}0\r\n\r\n`),
    (url) =>
      withClient(async (client) => {
        assert.is(await send(url, client), `body: ${'a'.repeat(maxBodyBytes)}`);
      }),
  );
});

test('holds little memory for a body without end in chunks of one byte', async () => {
  v8.setFlagsFromString('--expose-gc');
  const collectGarbage = vm.runInNewContext('gc') as () => void;
  const chunksPerTick = 10_000;
  const tickCount = 100;
  const maxHeldBytes = 33_554_432;
  const body = createResponseBody({
    aborted: false,
    paused: false,
    reason: null,
    abort: () => {},
    pause: () => {},
    resume: () => {},
  });
  const read = readWholeBody(body, 'target', chunksPerTick * tickCount);
  collectGarbage();
  const beforeBytes = process.memoryUsage().heapUsed;
  for (let tick = 0; tick < tickCount; tick += 1) {
    const received = Buffer.alloc(chunksPerTick);
    for (let index = 0; index < chunksPerTick; index += 1) {
      body.push(received.subarray(index, index + 1));
    }
    await delay(0);
  }
  collectGarbage();
  const heldBytes = process.memoryUsage().heapUsed - beforeBytes;
  body.end();
  assert.ok((await read).ok);
  assert.ok(heldBytes < maxHeldBytes, `held ${heldBytes} bytes of objects`);
});

test.run();
