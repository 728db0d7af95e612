import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createTargetTracker } from './createTargetTracker';

const test = uvu.suite('target tracker');

test('reports silence since the last progress, only while requests are in progress', () => {
  const tracker = createTargetTracker();
  assert.is(tracker.read('t', 0).silentSinceMs, undefined);
  tracker.onSend('t', 100);
  tracker.onSend('t', 150);
  assert.is(tracker.read('t', 200).silentSinceMs, 100);
  tracker.onProgress('t', 180);
  assert.is(tracker.read('t', 200).silentSinceMs, 180);
  tracker.onEnd('t');
  tracker.onEnd('t');
  assert.is(tracker.read('t', 200).silentSinceMs, undefined);
  tracker.onSend('t', 900);
  assert.is(
    tracker.read('t', 950).silentSinceMs,
    900,
    'progress of earlier requests does not count',
  );
});

test('decays the failure rate over time', () => {
  const tracker = createTargetTracker();
  tracker.onFailure('t', 0);
  const first = tracker.read('t', 0).failureRate;
  assert.ok(first > 0);
  assert.ok(tracker.read('t', 1_500).failureRate < first * 0.6);
});

test('keeps targets that have requests in progress even if they are no longer listed', () => {
  const tracker = createTargetTracker();
  tracker.onSend('busy', 0);
  tracker.avoid('idle', 9_000);
  tracker.retain(new Set());
  assert.equal(tracker.loads(), { busy: 1 });
  assert.is(tracker.read('idle', 0).avoidUntilMs, -Infinity);
});

test.run();
