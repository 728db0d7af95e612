import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import type { Candidate } from '../chooseTarget';
import type { TargetStats } from '../createTargetTracker';
import { isReachInDoubt } from './isReachInDoubt';

const test = uvu.suite('doubt about the links to all targets');

const nowMs = 10_000;
const idle: TargetStats = {
  inFlight: 0,
  silentSinceMs: undefined,
  gapMs: undefined,
  responseMs: undefined,
  failureRate: 0,
  avoidUntilMs: -Infinity,
  lastProgressAtMs: -Infinity,
  unreachedAtMs: -Infinity,
};
const isInDoubt = (...stats: readonly Partial<TargetStats>[]) =>
  isReachInDoubt(
    stats.map((changes) => ({ stats: { ...idle, ...changes } }) as Candidate),
    nowMs,
  );
const silentFor = (ms: number) => ({
  inFlight: 1,
  silentSinceMs: nowMs - ms,
  lastProgressAtMs: nowMs - ms,
});
const failedBefore = (ms: number) => ({ unreachedAtMs: nowMs - ms });

test('arises within half a second when several targets fall silent together', () => {
  assert.ok(isInDoubt(silentFor(500), silentFor(450), {}));
  assert.not.ok(isInDoubt(silentFor(300), silentFor(350)));
});

test('does not arise from one silent target among others', () => {
  assert.not.ok(isInDoubt(silentFor(2_000), { lastProgressAtMs: nowMs - 50 }, {}));
  assert.not.ok(isInDoubt(silentFor(2_000), {}, {}));
});

test('does not arise without requests', () => {
  assert.not.ok(isInDoubt());
  assert.not.ok(isInDoubt({}, {}));
  assert.not.ok(isInDoubt({ lastProgressAtMs: nowMs - 60_000 }, {}));
});

test('arises at once when connections to several targets fail and none delivers since', () => {
  assert.ok(isInDoubt(failedBefore(5), failedBefore(10), {}));
  assert.not.ok(isInDoubt(failedBefore(5), {}, {}));
  assert.not.ok(isInDoubt(failedBefore(50), failedBefore(60), { lastProgressAtMs: nowMs - 20 }));
  assert.not.ok(isInDoubt(failedBefore(5_000), failedBefore(6_000)));
});

test('arises from the only target of a service', () => {
  assert.ok(isInDoubt(failedBefore(5)));
  assert.ok(isInDoubt(silentFor(500)));
});

test.run();
