import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createDrainPeriod } from './createDrainPeriod';

const test = uvu.suite('drain period');

const createPeriod = () => {
  let nowMs = 1_000;
  const period = createDrainPeriod({ nowMs: () => nowMs, noticeMs: 2_000, durationMs: 7_000 });
  return {
    period,
    wasNoticeOver: () => period.wasNoticeOver(nowMs),
    advance: (ms: number) => {
      nowMs += ms;
    },
  };
};

test('leaves requests all the time they need before it begins', () => {
  const { period, advance, wasNoticeOver } = createPeriod();
  advance(100_000);
  assert.is(period.remainingMs(), Infinity);
  assert.is(period.elapsedMs(), undefined);
  assert.not(wasNoticeOver());
});

test('counts from its first beginning', () => {
  const { period, advance, wasNoticeOver } = createPeriod();
  period.begin();
  advance(1_999);
  period.begin();
  assert.not(wasNoticeOver());
  advance(1);
  assert.ok(wasNoticeOver());
  assert.is(period.remainingMs(), 5_000);
  advance(9_000);
  assert.is(period.remainingMs(), 0);
});

test('tells its end to the requests in progress and to those that still come', () => {
  const { period } = createPeriod();
  const current = period.watchEnd();
  const ended = period.watchEnd();
  ended.release();
  period.end();
  assert.ok(current.signal.aborted);
  assert.not(ended.signal.aborted);
  assert.ok(period.watchEnd().signal.aborted);
});

test.run();
