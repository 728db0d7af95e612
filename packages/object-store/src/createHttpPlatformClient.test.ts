import { once } from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as objectStore from './index';

const test = uvu.suite('http platform client');

test('calls from the configured local address', async () => {
  const callers: (string | undefined)[] = [];
  const server = http.createServer((request, response) => {
    callers.push(request.socket.remoteAddress);
    response.end('{"instances":[]}');
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as net.AddressInfo;
  const client = objectStore.createHttpPlatformClient({
    url: `http://127.0.0.1:${port}`,
    callTimeoutMs: 1_000,
    localAddress: '127.0.0.42',
  });
  const listed = await client.instances();
  assert.ok(listed.ok);
  assert.equal(callers, ['127.0.0.42']);
  server.closeAllConnections();
  server.close();
});

test.run();
