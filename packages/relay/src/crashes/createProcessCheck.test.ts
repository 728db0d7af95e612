import * as net from 'node:net';
import * as clocks from '@comfreydrum/clock';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createProcessCheck } from './createProcessCheck';

const test = uvu.suite('process check');

const listen = async () => {
  let connectionCount = 0;
  const server = net.createServer((socket) => {
    connectionCount += 1;
    socket.on('error', () => {});
    socket.destroy();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    candidate: { key: 't1@1', address: `127.0.0.1:${port}` },
    connectionCount: () => connectionCount,
    stop: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
      }),
  };
};

const createCheck = () =>
  createProcessCheck({ clock: clocks.createSystemClock(), localAddress: undefined });

test('shares the check of a target that has ended', async () => {
  const { candidate, stop } = await listen();
  await stop();
  const check = createCheck();
  const results = await Promise.all([1, 2, 3].map(() => check.hasEnded(candidate)));
  assert.equal(results, [true, true, true]);
});

test('checks a target again that was still listening before its connection broke', async () => {
  const { candidate, stop } = await listen();
  const check = createCheck();
  assert.is(await check.hasEnded(candidate), false);
  await stop();
  assert.is(await check.hasEnded(candidate), true);
});

test('checks a listening target at most twice for connections that break at once', async () => {
  const { candidate, connectionCount, stop } = await listen();
  const check = createCheck();
  const results = await Promise.all(Array.from({ length: 10 }, () => check.hasEnded(candidate)));
  assert.ok(results.every((hasEnded) => !hasEnded));
  assert.ok(connectionCount() <= 2);
  await stop();
});

/** Keeps the event loop busy in steps that are longer than the time limit of a check. */
const keepBusy = () => {
  const timer = setInterval(() => {
    const endAtMs = performance.now() + 130;
    while (performance.now() < endAtMs);
  }, 1);
  return () => clearInterval(timer);
};

test('finds out whether a target listens while the event loop is busy', async () => {
  const { candidate, stop } = await listen();
  const stopBusy = keepBusy();
  assert.is(await createCheck().isListening(candidate), true);
  await stop();
  assert.is(await createCheck().isListening(candidate), false);
  assert.is(await createCheck().hasEnded(candidate), true);
  stopBusy();
});

test('takes a target that can not be reached neither for ended nor for listening', async () => {
  const check = createProcessCheck({
    clock: clocks.createSystemClock(),
    localAddress: '192.0.2.1',
  });
  const candidate = { key: 't1@1', address: '127.0.0.1:9' };
  assert.is(await check.hasEnded(candidate), false);
  assert.is(await check.isListening(candidate), false);
});

test.run();
