import * as clock from '@comfreydrum/clock';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as telemetry from './index';

const test = uvu.suite('telemetry');

const createTimelineAt = (instanceId: string, startMs: number, capacity?: number) => {
  const hybrid = clock.createHybridClock(clock.createManualClock(startMs));
  return { hybrid, timeline: telemetry.createTimeline(instanceId, hybrid, capacity) };
};

test('orders cause before effect across processes with skewed clocks', () => {
  const fast = createTimelineAt('fast', 9_000);
  const slow = createTimelineAt('slow', 1_000);
  fast.timeline.record('send');
  slow.hybrid.receive(fast.hybrid.tick());
  slow.timeline.record('act');
  const merged = telemetry.mergeTimelines([slow.timeline.read(), fast.timeline.read()]);
  assert.equal(
    merged.map(({ step }) => step),
    ['send', 'act'],
  );
});

test('keeps the latest events and returns those after a given time', () => {
  const { timeline } = createTimelineAt('a', 10, 3);
  ['1', '2', '3', '4'].forEach((step) => timeline.record(step));
  const events = timeline.read();
  assert.equal(
    events.map(({ step }) => step),
    ['2', '3', '4'],
  );
  assert.equal(
    timeline.read(events[1]!.time).map(({ step }) => step),
    ['4'],
  );
});

test('renders durations as complete trace events', () => {
  const { timeline } = createTimelineAt('a', 10);
  timeline.record('dispatch', { durationMs: 4, groupId: 'g1' });
  const [event] = JSON.parse(telemetry.toTraceEvents(timeline.read())).traceEvents;
  assert.is(event.ph, 'X');
  assert.is(event.ts, 6_000);
  assert.is(event.tid, 'g1');
});

test('renders histograms and counters in the text format', async () => {
  const metrics = telemetry.createMetrics();
  const latency = metrics.histogram('first_token_ms', 'Time to the first token.');
  metrics.counter('refusals', 'Refused requests.', ['reason']).add({ reason: 'overload' });
  [1, 2, 3, 100].forEach(latency.record);
  const text = await metrics.render();
  assert.match(text, /first_token_ms\{quantile="0.5"\} 2/);
  assert.match(text, /first_token_ms_count 4/);
  assert.match(text, /refusals\{reason="overload"\} 1/);
});

test.run();
