import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createSendSchedule, type LimitedTarget } from './createSendSchedule';

const test = uvu.suite('schedule of requests to limited targets');

const windowMs = 4_000;

/** Asks for a permit every `everyMs` and returns when the granted requests are sent. */
const collectSends = (
  targets: readonly LimitedTarget[],
  { everyMs, maxWaitMs, durationMs }: Readonly<Record<string, number>>,
) => {
  const schedule = createSendSchedule({ burst: 2, initialDelay: () => 0 });
  const sends: { readonly targetKey: string; readonly atMs: number }[] = [];
  for (let nowMs = 0; nowMs < durationMs!; nowMs += everyMs!) {
    const permit = schedule.reserve({ targets, maxWaitMs: maxWaitMs! }, nowMs);
    if (permit.kind === 'granted') {
      sends.push({ targetKey: permit.targetKey, atMs: nowMs + permit.waitMs });
    }
  }
  return sends;
};

const maxInWindow = (times: readonly number[]) =>
  Math.max(...times.map((from) => times.filter((at) => at >= from && at < from + windowMs).length));

test('never sends more than the limit and the burst in a window, and no less where requests come', () => {
  for (const perSecond of [0.25, 1, 2.7, 4, 30]) {
    for (const maxWaitMs of [0, 150, 1_000]) {
      const options = { everyMs: 5, maxWaitMs, durationMs: 20_000 };
      const times = collectSends([{ targetKey: 'a', perSecond }], options).map(({ atMs }) => atMs);
      const allowed = Math.ceil((perSecond * windowMs) / 1_000) + 2;
      assert.ok(maxInWindow(times) <= allowed, `${maxInWindow(times)} sent at ${perSecond}`);
      assert.ok(times.length >= perSecond * 20 - 1, `${times.length} sent in 20 s at ${perSecond}`);
    }
  }
});

test('sends to each target as much as its limit allows', () => {
  const targets = [
    { targetKey: 'a', perSecond: 1 },
    { targetKey: 'b', perSecond: 4 },
  ];
  const sends = collectSends(targets, { everyMs: 10, maxWaitMs: 100, durationMs: 10_000 });
  const countOf = (key: string) => sends.filter(({ targetKey }) => targetKey === key).length;
  assert.ok(Math.abs(countOf('a') - 10) <= 2, `${countOf('a')} to a`);
  assert.ok(Math.abs(countOf('b') - 40) <= 2, `${countOf('b')} to b`);
});

test('tells a denied request when a target takes the next one', () => {
  const schedule = createSendSchedule({ burst: 1, initialDelay: () => 0 });
  const request = { targets: [{ targetKey: 'a', perSecond: 2 }], maxWaitMs: 0 };
  assert.is(schedule.reserve(request, 1_000).kind, 'granted');
  assert.equal(schedule.reserve(request, 1_100), { kind: 'denied', retryAfterMs: 400 });
  assert.is(schedule.reserve(request, 1_500).kind, 'granted');
});

test('follows a limit that changes', () => {
  const schedule = createSendSchedule({ burst: 1, initialDelay: () => 0 });
  const reserve = (perSecond: number, nowMs: number) =>
    schedule.reserve({ targets: [{ targetKey: 'a', perSecond }], maxWaitMs: 0 }, nowMs).kind;
  assert.is(reserve(10, 0), 'granted');
  assert.is(reserve(1, 100), 'granted');
  assert.is(reserve(1, 200), 'denied');
  assert.is(reserve(1, 1_100), 'granted');
  assert.is(reserve(10, 2_100), 'granted');
  assert.is(reserve(10, 2_200), 'granted');
});

test.run();
