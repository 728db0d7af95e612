import * as clock from '@comfreydrum/clock';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createDelayEstimator } from './createDelayEstimator';

const test = uvu.suite('delay estimator');

const create = () => {
  const manual = clock.createManualClock(50_000);
  const estimator = createDelayEstimator(manual);
  const advance = (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += estimator.tickMs) {
      manual.advance(estimator.tickMs);
      estimator.tick();
    }
  };
  return { manual, estimator, advance };
};

test('returns no delay for a first message, which may have been buffered', () => {
  const { estimator } = create();
  assert.is(estimator.delayMs('watcher', 7), undefined);
  assert.is(estimator.delayMs('watcher', 7), 0);
});

test('estimates the delay of a message from an unsynchronized clock', () => {
  const { estimator, advance } = create();
  estimator.delayMs('watcher', 1_000);
  advance(400);
  estimator.delayMs('watcher', 1_400);
  advance(5_000);
  const delayMs = estimator.delayMs('watcher', 1_800);
  assert.ok(delayMs !== undefined && Math.abs(delayMs - 4_600) < 5, `${delayMs}`);
});

test('returns no delay for a second after this process was paused', () => {
  const { estimator, manual, advance } = create();
  estimator.delayMs('watcher', 1_000);
  estimator.delayMs('watcher', 1_000);
  manual.advance(10_000);
  assert.is(estimator.delayMs('watcher', 11_000), undefined);
  advance(1_100);
  assert.is(Math.floor(estimator.delayMs('watcher', 12_100)!), 0);
});

test.run();
