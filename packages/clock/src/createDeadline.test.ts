import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as clocks from './index';

const test = uvu.suite('deadline');

const sleep = (durationMs: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

// Guards against a time-out that a garbage collection removes, so that what waits for it never ends.
test('aborts at its time although garbage is collected before', async () => {
  const source = new AbortController();
  let wasAborted = false;
  clocks.createDeadline(200, [source.signal]).signal.addEventListener('abort', () => {
    wasAborted = true;
  });
  await testing.collectGarbage();
  await sleep(300);
  assert.ok(wasAborted);
});

test('aborts with a source signal, and then not because of the time', async () => {
  const source = new AbortController();
  const deadline = clocks.createDeadline(30, [new AbortController().signal, source.signal]);
  source.abort(new Error('stopped'));
  assert.ok(deadline.signal.aborted);
  assert.is((deadline.signal.reason as Error).message, 'stopped');
  await sleep(50);
  assert.not(deadline.hasPassed());
  const late = clocks.createDeadline(30, [source.signal]);
  assert.is((late.signal.reason as Error).message, 'stopped', 'the source had aborted before');
});

test('does not abort after it was released', async () => {
  const source = new AbortController();
  const deadline = clocks.createDeadline(20, [source.signal]);
  deadline.release();
  source.abort();
  await sleep(50);
  assert.not(deadline.signal.aborted);
  assert.not(deadline.hasPassed());
});

test('names the time-out as its reason, and waits for times longer than a timer can', async () => {
  const deadline = clocks.createDeadline(0);
  const distant = clocks.createDeadline(10_000_000_000);
  await sleep(20);
  assert.is((deadline.signal.reason as Error).name, 'TimeoutError');
  assert.ok(deadline.hasPassed());
  assert.not(distant.signal.aborted);
  distant.release();
});

test.run();
