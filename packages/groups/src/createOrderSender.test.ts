import type * as net from 'node:net';
import * as clocks from '@comfreydrum/clock';
import * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createOrderSender } from './createOrderSender';

const test = uvu.suite('order sender');

/** Returns the work that is read from a leader whose answer ends with its connection. */
const readWorkOf = async (end: (socket: net.Socket) => void): Promise<number | undefined> => {
  const clock = clocks.createSystemClock();
  const sender = createOrderSender({
    clock,
    log: telemetry.createLog({ level: 'silent', instanceId: 'test' }),
    timeline: telemetry.createTimeline('test', clocks.createHybridClock(clock)),
    timeoutMs: 2_000,
  });
  let work: number | undefined;
  const answer: testing.RawAnswer = (socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\n{"running":1,"waiting":2}');
    end(socket);
  };
  await testing.withRawServer(answer, async (url) => {
    work = await sender.readWork(url);
  });
  await sender.close();
  return work;
};

// Guards against groups that are taken for idle although their leader broke off its answer.
test('reads the work in an answer without a length when its connection ends, and not when it is reset', async () => {
  assert.is(await readWorkOf((socket) => socket.end()), 3);
  assert.is(await readWorkOf((socket) => socket.resetAndDestroy()), undefined);
  assert.is(
    await readWorkOf((socket) => setTimeout(() => socket.resetAndDestroy(), 20)),
    undefined,
  );
});

test.run();
