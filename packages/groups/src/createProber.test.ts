import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as clock from '@comfreydrum/clock';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createProber } from './createProber';

const test = uvu.suite('prober');

test('probes from the configured local address', async () => {
  let calledFrom: string | undefined;
  const server = http.createServer((request, response) => {
    calledFrom = request.socket.remoteAddress;
    response.end(JSON.stringify({ instanceId: 'engine-1', bootId: 'boot-1', phase: 'ready' }));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const prober = createProber({
    clock: clock.createSystemClock(),
    timeoutMs: 5_000,
    localAddress: '127.0.0.2',
  });
  const observed = new Promise<void>((resolve) => {
    prober.onObservation(() => resolve());
  });
  prober.probe([{ instanceId: 'engine-1', url: `http://127.0.0.1:${port}` }]);
  await observed;
  await prober.close();
  server.close();
  assert.is(prober.observe('engine-1')?.response?.bootId, 'boot-1');
  assert.is(calledFrom, '127.0.0.2');
});

// Guards against targets that are taken for ready although they broke off their answer.
test('takes no answer without a length that is reset', async () => {
  const resetDelaysMs = [undefined, 20];
  for (const delayMs of resetDelaysMs) {
    const answer: testing.RawAnswer = (socket) => {
      socket.write(
        'HTTP/1.1 200 OK\r\n\r\n{"instanceId":"engine-1","bootId":"boot-1","phase":"ready"}',
      );
      if (delayMs === undefined) socket.resetAndDestroy();
      else setTimeout(() => socket.resetAndDestroy(), delayMs);
    };
    await testing.withRawServer(answer, async (url) => {
      const prober = createProber({ clock: clock.createSystemClock(), timeoutMs: 2_000 });
      const observed = new Promise<void>((resolve) => {
        prober.onObservation(() => resolve());
      });
      prober.probe([{ instanceId: 'engine-1', url }]);
      await observed;
      await prober.close();
      assert.is(prober.observe('engine-1')?.response, undefined);
    });
  }
});

test.run();
