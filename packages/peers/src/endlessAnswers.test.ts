import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as clock from '@comfreydrum/clock';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createStandalonePeerCalls } from './createStandalonePeerCalls';

const test = uvu.suite('answers of peers without end');

const callTimeoutMs = 2_000;
/** Far below the timeout of the call, which would also end it. */
const soonMs = 500;
/** Twice the limit of a body, and so above what the buffers of the sockets hold beyond it. */
const mostBodyBytes = 8_388_608;
const maxHeadBytes = 1_048_576;
const largeWriteBytes = 1_048_576;

const assertFailsSoon = async (answer: testing.EndlessAnswer, mostSentBytes: number) => {
  const endless = testing.createEndlessTarget(answer);
  const server = http.createServer(endless.listener);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const calls = createStandalonePeerCalls({
    selfId: 'd1',
    fleet: 'f',
    listen: '127.0.0.1:0',
    hybridClock: clock.createHybridClock(clock.createSystemClock()),
  });
  await calls.component.start?.();
  try {
    const startedAtMs = performance.now();
    const result = await calls.call(`127.0.0.1:${port}`, 'check', {}, callTimeoutMs);
    assert.is(result.ok ? 'ok' : result.error.kind, 'timeout');
    const isClosed = () => endless.counts().closedConnections === 1;
    await testing.waitUntil(isClosed, soonMs, 'the connection to be closed');
    const tookMs = performance.now() - startedAtMs;
    const { sentBytes } = endless.counts();
    assert.ok(tookMs < soonMs, `took ${tookMs} ms`);
    assert.ok(sentBytes < mostSentBytes, `sent ${sentBytes} bytes`);
  } finally {
    await calls.component.stop?.();
    server.close();
    server.closeAllConnections();
  }
};

test('closes the connection of a peer that answers with a head without end', () =>
  assertFailsSoon({ start: () => 'HTTP/1.1 200 ', repeated: 'a' }, maxHeadBytes));

test('closes the connection of a peer that answers with a body without end', () =>
  assertFailsSoon(
    { start: () => 'HTTP/1.1 200 OK\r\n\r\n', repeated: ' ', bytesPerWrite: largeWriteBytes },
    mostBodyBytes,
  ));

test.run();
