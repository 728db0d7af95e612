import * as clock from '@comfreydrum/clock';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createArrivalClock } from './createArrivalClock';

const test = uvu.suite('delay estimator');

const create = () => {
  const manual = clock.createManualClock(50_000);
  const arrival = createArrivalClock(manual);
  const pass = (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += arrival.tickMs) {
      manual.advance(arrival.tickMs);
      arrival.tick();
    }
  };
  return { manual, arrival, pass };
};

test('returns no delay for a first message, which may have been buffered', () => {
  const { arrival } = create();
  assert.is(arrival.latenessMs('watcher', 7), undefined);
  assert.is(arrival.latenessMs('watcher', 7), 0);
});

test('estimates the delay of a message from an unsynchronized clock', () => {
  const { arrival, pass } = create();
  arrival.latenessMs('watcher', 1_000);
  pass(400);
  arrival.latenessMs('watcher', 1_400);
  pass(5_000);
  const lateness = arrival.latenessMs('watcher', 1_800);
  assert.ok(lateness !== undefined && Math.abs(lateness - 4_600) < 5, `${lateness}`);
});

test('returns no delay for a second after this process was paused', () => {
  const { arrival, manual, pass } = create();
  arrival.latenessMs('watcher', 1_000);
  arrival.latenessMs('watcher', 1_000);
  manual.advance(10_000);
  assert.is(arrival.latenessMs('watcher', 11_000), undefined);
  pass(1_100);
  assert.is(Math.floor(arrival.latenessMs('watcher', 12_100)!), 0);
});

test.run();
