import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as clock from '@comfreydrum/clock';
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

test.run();
