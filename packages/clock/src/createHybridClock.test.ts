import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as clock from './index';

const test = uvu.suite('hybrid clock');

test('orders a receive event after its send event when the clock of the receiver is behind', () => {
  const sender = clock.createHybridClock(clock.createManualClock(5_000));
  const receiver = clock.createHybridClock(clock.createManualClock(1_000));
  const sent = sender.tick();
  assert.ok(clock.compareHybridTimes(sent, receiver.receive(sent)) < 0);
});

test('never goes back when the wall clock is set back', () => {
  const manual = clock.createManualClock(5_000);
  const hybrid = clock.createHybridClock(manual);
  const before = hybrid.tick();
  manual.shiftWallClock(-4_000);
  assert.ok(clock.compareHybridTimes(before, hybrid.tick()) < 0);
});

test.run();
