import { setTimeout as delay } from 'node:timers/promises';
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

/** A component whose start takes until `finishStart` is called. */
const createSlowComponent = (name: string, calls: string[]) => {
  let finishStart = (_failure?: Error) => {};
  const started = new Promise<void>((resolve, reject) => {
    finishStart = (failure) => (failure === undefined ? resolve() : reject(failure));
  });
  const component: lifecycle.Component = {
    name,
    start: async () => {
      calls.push(`+${name}`);
      await started;
    },
    stop: () => {
      calls.push(`-${name}`);
    },
  };
  return { component, finishStart };
};

const createStarting = () => {
  const calls: string[] = [];
  const processLifecycle = lifecycle.createLifecycle();
  const [a, b, c] = ['a', 'b', 'c'].map((name) => createSlowComponent(name, calls));
  [a!, b!, c!].forEach(({ component }) => processLifecycle.register(component));
  a!.finishStart();
  c!.finishStart();
  const starting = processLifecycle.start();
  return { calls, processLifecycle, starting, finishStartOfB: b!.finishStart };
};

test('stops the component that is starting as well, and starts no other one, when stopped meanwhile', async () => {
  const { calls, processLifecycle, starting, finishStartOfB } = createStarting();
  await delay(1);
  assert.equal(calls, ['+a', '+b']);
  let isStopped = false;
  const stopping = processLifecycle.stop().then(() => {
    isStopped = true;
  });
  await delay(1);
  assert.not(isStopped);
  finishStartOfB();
  await Promise.all([starting, stopping]);
  assert.equal(calls, ['+a', '+b', '-b', '-a']);
});

test('stops the other components when the one that is starting fails while it stops', async () => {
  const { calls, processLifecycle, starting, finishStartOfB } = createStarting();
  await delay(1);
  const stopping = processLifecycle.stop();
  const failed = starting.then(
    () => assert.unreachable('start succeeded'),
    (cause: Error) => assert.match(cause.message, 'part b did not start'),
  );
  finishStartOfB(new Error('port taken'));
  await Promise.all([failed, stopping]);
  assert.equal(calls, ['+a', '+b', '-a']);
});

test('starts nothing once it was stopped', async () => {
  const calls: string[] = [];
  const processLifecycle = lifecycle.createLifecycle();
  processLifecycle.register(createSlowComponent('a', calls).component);
  await processLifecycle.stop();
  await processLifecycle.start();
  assert.equal(calls, []);
});

test.run();
