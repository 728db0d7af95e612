import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { assessStall, type StreamObservation } from './assessStall';

const test = uvu.suite('stall detection');

const observation = (fields: Partial<StreamObservation>): StreamObservation => ({
  nowMs: 10_000,
  sentAtMs: 5_000,
  lastEventAtMs: 10_000,
  headSilentSinceMs: 10_000,
  expectedGapMs: 50,
  targetMs: 300,
  ...fields,
});

const assessAfter = (silentMs: number, fields: Partial<StreamObservation> = {}) =>
  assessStall(
    observation({
      lastEventAtMs: 10_000 - silentMs,
      headSilentSinceMs: 10_000 - silentMs,
      ...fields,
    }),
  );

test('probes members early enough for another head to send the next event on time', () => {
  assert.is(assessAfter(80), 'wait');
  assert.is(assessAfter(160), 'probe');
  assert.is(assessAfter(95, { expectedGapMs: 30, targetMs: 200 }), 'probe');
});

test('waits while other streams of the head make progress', () => {
  assert.is(assessAfter(500, { headSilentSinceMs: 9_990 }), 'wait');
  assert.is(assessAfter(1_100, { headSilentSinceMs: 9_990 }), 'stream-hangs');
});

test('waits longer for a stream without events, which may be queued', () => {
  const fields = { lastEventAtMs: undefined, headSilentSinceMs: 9_990 };
  assert.is(assessAfter(0, { ...fields, sentAtMs: 8_500 }), 'wait');
  assert.is(assessAfter(0, { ...fields, sentAtMs: 8_000 }), 'stream-hangs');
});

test('does not wait for a stalled head even if its members respond', () => {
  assert.is(assessAfter(950), 'head-stands-still');
});

test('measures silence from the time at which the stream itself was sent', () => {
  const fields = { lastEventAtMs: undefined, sentAtMs: 9_950, headSilentSinceMs: 1_000 };
  assert.is(assessStall(observation(fields)), 'wait');
});

test.run();
