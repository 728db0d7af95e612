import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as lifecycle from './index';

const test = uvu.suite('lifecycle');

test('stops the components in reverse order of their start', async () => {
  const calls: string[] = [];
  const processLifecycle = lifecycle.createLifecycle();
  const recordCall = (call: string) => () => {
    calls.push(call);
  };
  processLifecycle.register({ name: 'a', start: recordCall('+a'), stop: recordCall('-a') });
  processLifecycle.register({ name: 'b', start: recordCall('+b'), stop: recordCall('-b') });
  await processLifecycle.start();
  await Promise.all([processLifecycle.stop(), processLifecycle.stop()]);
  assert.equal(calls, ['+a', '+b', '-b', '-a']);
});

test('stops the components already started when a later one fails to start', async () => {
  const calls: string[] = [];
  const processLifecycle = lifecycle.createLifecycle();
  processLifecycle.register({
    name: 'a',
    stop: () => {
      calls.push('-a');
    },
  });
  processLifecycle.register({
    name: 'b',
    start: () => {
      throw new Error('port taken');
    },
  });
  await processLifecycle.start().then(
    () => assert.unreachable('start succeeded'),
    (cause: Error) => assert.match(cause.message, 'part b did not start'),
  );
  assert.equal(calls, ['-a']);
});

test.run();
