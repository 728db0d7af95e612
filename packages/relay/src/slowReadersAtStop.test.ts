import { once } from 'node:events';
import type * as http from 'node:http';
import * as net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { testKey } from './testing/createTestRelay';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('answers that are being read when the daemon stops');

/** More than the buffers of the sockets on both sides hold. */
const bodyBytes = 8_000_000;
/** Within the time to drain of a relay under test. */
const resumeReadingMs = 200;

type Framing = 'length' | 'close';

const answerWith =
  (framing: Framing): http.RequestListener =>
  (request, response) => {
    request.resume();
    if (framing === 'close') {
      Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
    }
    response.writeHead(200, {
      'x-id': String(request.headers['x-id']),
      'x-stamp': 's',
      ...(framing === 'length' ? { 'content-length': bodyBytes } : {}),
    });
    response.end(Buffer.alloc(bodyBytes, 'a'));
  };

/** Stops a relay while a caller reads nothing of its answer, and returns what it gets when it reads on. */
const stopWhileAnswering = async (framing: Framing) => {
  const route = { kind: 'idempotent', maxTargets: 1 } as const;
  let receivedBytes = 0;
  const targets = [{ id: 't1', listener: answerWith(framing) }];
  await withRelay({ targets, route }, async ({ url, relay }) => {
    const { hostname, port } = new URL(url);
    const socket = net.connect(Number(port), hostname);
    await once(socket, 'connect');
    socket.on('error', () => {});
    const closed = new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
    socket.write(`GET /drafts/1 HTTP/1.1\r\nhost: x\r\nx-id: r1\r\nx-key: ${testKey}\r\n\r\n`);
    await once(socket, 'readable');
    const stopped = relay.component.stop?.();
    await delay(resumeReadingMs);
    socket.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
    });
    socket.resume();
    await Promise.all([closed, stopped]);
  });
  return receivedBytes;
};

(['length', 'close'] as const).forEach((framing) =>
  test(`are sent whole in the time to drain: ${framing}`, async () => {
    const receivedBytes = await stopWhileAnswering(framing);
    assert.ok(receivedBytes > bodyBytes, `${receivedBytes} bytes`);
  }),
);

test.run();
