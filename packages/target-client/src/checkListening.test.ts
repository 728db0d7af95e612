import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { checkListening } from './checkListening';
import { withServer } from './testing/withServer';

const test = uvu.suite('check for a listening process');

test('distinguishes a process that listens from one that has ended', () =>
  withServer(
    () => {},
    async (url, stop) => {
      const options = { address: new URL(url).host, localAddress: undefined, timeoutMs: 1_000 };
      assert.is(await checkListening(options), 'listening');
      await stop();
      assert.is(await checkListening(options), 'refused');
    },
  ));

test('reports an unknown state if the check itself fails', async () => {
  const options = { address: '127.0.0.1:9', localAddress: '192.0.2.1', timeoutMs: 100 };
  assert.is(await checkListening(options), 'unknown');
});

test.run();
