import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as clock from './index';

const test = uvu.suite('timestamps');

test('measures elapsed time by whichever clock advanced further', () => {
  const manual = clock.createManualClock(1_000);
  const start = clock.readTimestamp(manual);
  manual.advance(500);
  assert.is(clock.maxElapsedMs(manual, start), 500);
  manual.shiftWallClock(-2_000);
  assert.is(clock.maxElapsedMs(manual, start), 500, 'after the wall clock was set back');
  manual.shiftWallClock(6_000);
  assert.is(clock.maxElapsedMs(manual, start), 4_500, 'after the machine was suspended');
});

test.run();
