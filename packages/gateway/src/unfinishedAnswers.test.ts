import { once } from 'node:events';
import type * as http from 'node:http';
import * as net from 'node:net';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createTestGateway, testTokens } from './testing/createTestGateway';

const test = uvu.suite('unfinished answers of the gateway');

const requestCount = 4;
const drainTimeoutMs = 500;
const endDelayMs = 60;

const body = JSON.stringify({ model: 'drafting', messages: [{ role: 'user', content: 'draft' }] });

/** Sends a request on a connection of its own, and returns all that comes back until it closes. */
const send = async (url: string): Promise<string> => {
  const { hostname, port } = new URL(url);
  const socket = net.connect(Number(port), hostname);
  let received = '';
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString();
  });
  socket.on('error', () => {});
  socket.write(
    `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${testTokens.court}\r\n` +
      `connection: close\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
  await once(socket, 'close');
  return received;
};

test('are closed with a response when the time to drain is over', async () => {
  let arrivedCount = 0;
  let onAllArrived = () => {};
  const allArrived = new Promise<void>((resolve) => {
    onAllArrived = resolve;
  });
  const target: http.RequestListener = (request) => {
    request.resume();
    arrivedCount += 1;
    if (arrivedCount === requestCount) onAllArrived();
  };
  const gateway = await createTestGateway({ target, drainTimeoutMs });
  const pending = Array.from({ length: requestCount }, () => send(gateway.url));
  await allArrived;
  await gateway.stop();
  const answers = await Promise.all(pending);
  assert.is(answers.filter((text) => text.startsWith('HTTP/1.1 5')).length, requestCount);
});

test('are not taken for whole when the process of their target ends', async () => {
  const target: http.RequestListener = (request, response) => {
    request.resume();
    request.once('end', () => {
      Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
      response.writeHead(200, { 'x-request-id': String(request.headers['x-request-id']) });
      response.write('{"half":');
      setTimeout(() => {
        const { server } = request.socket as unknown as { readonly server: http.Server };
        server.close();
        server.closeAllConnections();
      }, endDelayMs);
    });
  };
  const gateway = await createTestGateway({ target, drainTimeoutMs });
  const answer = await send(gateway.url);
  await gateway.stop();
  assert.not.match(answer, /^HTTP\/1\.1 200/);
});

test.run();
