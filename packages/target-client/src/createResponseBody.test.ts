import { setImmediate as nextTurn } from 'node:timers/promises';
import type * as undici from 'undici';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createResponseBody } from './createResponseBody';

const test = uvu.suite('response body');

const createFixture = () => {
  const calls: string[] = [];
  const controller: undici.Dispatcher.DispatchController = {
    aborted: false,
    paused: false,
    reason: null,
    abort: (reason) => calls.push(`abort: ${reason.message}`),
    pause: () => calls.push('pause'),
    resume: () => calls.push('resume'),
  };
  const body = createResponseBody(controller);
  const reader = {
    onChunks: (chunks: readonly Buffer[]) => calls.push(chunks.join('+')),
    onEnd: (cause?: Error) => calls.push(`end: ${cause?.message ?? 'whole'}`),
  };
  return { body, reader, calls };
};

test('delivers the chunks that arrived before it was read, then the end', () => {
  const { body, reader, calls } = createFixture();
  body.push(Buffer.from('a'));
  body.push(Buffer.from('b'));
  body.end();
  assert.equal(calls, []);
  body.read(reader);
  assert.equal(calls, ['a+b', 'end: whole']);
});

test('delivers the chunks of one tick together and those of different ticks separately', async () => {
  const { body, reader, calls } = createFixture();
  body.read(reader);
  body.push(Buffer.from('a'));
  body.push(Buffer.from('b'));
  await nextTurn();
  body.push(Buffer.from('c'));
  await nextTurn();
  assert.equal(calls, ['a+b', 'c']);
});

test('delivers the chunks that arrived before an interruption, and ends once', async () => {
  const { body, reader, calls } = createFixture();
  body.read(reader);
  body.push(Buffer.from('a'));
  body.end(new Error('reset'));
  body.end(new Error('again'));
  await nextTurn();
  assert.equal(calls, ['a', 'end: reset']);
});

test('aborts the connection when the rest is discarded', () => {
  const { body, calls } = createFixture();
  body.discard();
  assert.equal(calls, ['abort: the rest of the answer was given up']);
});

test.run();
