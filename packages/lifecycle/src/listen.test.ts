import * as net from 'node:net';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as lifecycle from './index';

const test = uvu.suite('listen');

test('rejects when the address is already in use', async () => {
  const first = net.createServer();
  await lifecycle.listen(first, { host: '127.0.0.1', port: 0 });
  const { port } = first.address() as net.AddressInfo;
  const second = net.createServer();
  let code: unknown;
  try {
    await lifecycle.listen(second, { host: '127.0.0.1', port });
  } catch (cause) {
    code = (cause as NodeJS.ErrnoException).code;
  }
  assert.is(code, 'EADDRINUSE');
  assert.is(first.listenerCount('error'), 0);
  first.close();
});

test.run();
