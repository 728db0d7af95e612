import { once } from 'node:events';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createAcceptQueue } from './createAcceptQueue';
import { listen } from './listen';

const test = uvu.suite('accept queue');

const callerCount = 40;

const block = (durationMs: number) => {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
};

test('is empty before a server closes, so that no request in it is cut off', async () => {
  const server = http.createServer((_request, response) => response.end('answer'));
  const queue = createAcceptQueue(server);
  await listen(server, { host: '127.0.0.1', port: 0 });
  const { port } = server.address() as AddressInfo;
  const calls = Array.from({ length: callerCount }, () => {
    const request = http.get({ host: '127.0.0.1', port, agent: false });
    return once(request, 'response').then(
      () => 'answered',
      () => 'cut',
    );
  });
  await delay(0);
  block(50);
  await queue.drain(5_000);
  server.close();
  const ends = await Promise.all(calls);
  assert.is(ends.filter((end) => end === 'cut').length, 0);
  server.closeAllConnections();
});

test('is given up after the timeout while callers keep coming, and tells which came late', async () => {
  const server = http.createServer((_request, response) => response.end());
  const queue = createAcceptQueue(server);
  const isLate: boolean[] = [];
  server.on('connection', (socket) => isLate.push(queue.isLate(socket)));
  await listen(server, { host: '127.0.0.1', port: 0 });
  const { port } = server.address() as AddressInfo;
  const agent = new http.Agent({ keepAlive: false });
  const get = () => {
    const request = http.get({ host: '127.0.0.1', port, agent }, (response) => {
      response.resume();
      if (server.listening) get();
    });
    request.on('error', () => {});
  };
  get();
  await once(server, 'connection');
  const startedAtMs = performance.now();
  await queue.drain(100);
  assert.ok(performance.now() - startedAtMs < 1_000);
  server.close();
  server.closeAllConnections();
  assert.is(isLate[0], false);
  agent.destroy();
});

test.run();
