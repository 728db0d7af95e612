import { once } from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as testing from '@comfreydrum/testing';
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

/** More than the socket buffers of both sides hold. */
const largeObjectBytes = 8_000_000;
const key = { kind: 'locks', name: 'one' };

const callPlatform = async (
  end: (socket: net.Socket) => void,
  call: (client: objectStore.PlatformClient) => Promise<{ readonly ok: boolean }>,
): Promise<boolean> => {
  let isAccepted = false;
  const answer: testing.RawAnswer = (socket) => {
    socket.pause();
    socket.write('HTTP/1.1 200 OK\r\n\r\n{"kind":"locks","name":"one","version":1,"value":""}');
    end(socket);
  };
  await testing.withRawServer(answer, async (url) => {
    const client = objectStore.createHttpPlatformClient({ url, callTimeoutMs: 2_000 });
    isAccepted = (await call(client)).ok;
  });
  return isAccepted;
};

// Guards against objects that are taken for read or written although the platform broke off its answer.
test('takes an answer without a length when its connection ends, and not when it is reset', async () => {
  const read = (client: objectStore.PlatformClient) => client.get(key);
  const write = (client: objectStore.PlatformClient) =>
    client.put(key, 'u'.repeat(largeObjectBytes), 'absent');
  assert.is(await callPlatform((socket) => socket.end(), read), true);
  assert.is(await callPlatform((socket) => socket.resetAndDestroy(), read), false);
  assert.is(
    await callPlatform((socket) => setTimeout(() => socket.resetAndDestroy(), 20), read),
    false,
  );
  assert.is(await callPlatform((socket) => socket.resetAndDestroy(), write), false);
});

test.run();
