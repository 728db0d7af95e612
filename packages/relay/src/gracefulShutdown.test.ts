import { once } from 'node:events';
import type * as http from 'node:http';
import * as net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { testKey } from './testing/createTestRelay';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('graceful shutdown');

test('answers a request that comes some time after its connection was accepted', async () => {
  const listener: http.RequestListener = (request, response) => {
    request.resume();
    response
      .writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's' })
      .end('served');
  };
  const targets = [{ id: 't1', listener }];
  const route = { kind: 'idempotent', maxTargets: 1 } as const;
  await withRelay({ targets, route }, async ({ url, relay }) => {
    const { hostname, port } = new URL(url);
    const socket = net.connect(Number(port), hostname);
    await once(socket, 'connect');
    const stopped = relay.component.stop?.();
    await delay(300);
    socket.write(`GET /drafts/1 HTTP/1.1\r\nhost: x\r\nx-id: r1\r\nx-key: ${testKey}\r\n\r\n`);
    const [chunk] = (await Promise.race([once(socket, 'data'), once(socket, 'close')])) as [
      unknown,
    ];
    assert.match(String(chunk), 'HTTP/1.1 200');
    socket.destroy();
    await stopped;
  });
});

test.run();
