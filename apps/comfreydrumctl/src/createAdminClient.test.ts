import type * as net from 'node:net';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { CommandFailure } from './CommandFailure';
import { createAdminClient } from './createAdminClient';

const test = uvu.suite('administration client');

/** Returns the answer of a daemon that ends with its connection, or the failure of the command. */
const call = async (end: (socket: net.Socket) => void): Promise<unknown> => {
  let result: unknown;
  const answer: testing.RawAnswer = (socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\n{"groups":[]}');
    end(socket);
  };
  await testing.withRawServer(answer, async (url) => {
    result = await createAdminClient(url, 'token')
      .call('GET', '/v1/groups')
      .catch((cause: unknown) => cause);
  });
  return result;
};

// Guards against lists that are printed as whole although the daemon broke off its answer.
test('takes an answer without a length when its connection ends, and not when it is reset', async () => {
  assert.equal(await call((socket) => socket.end()), { statusCode: 200, body: { groups: [] } });
  assert.instance(await call((socket) => socket.resetAndDestroy()), CommandFailure);
  assert.instance(
    await call((socket) => setTimeout(() => socket.resetAndDestroy(), 20)),
    CommandFailure,
  );
});

test.run();
