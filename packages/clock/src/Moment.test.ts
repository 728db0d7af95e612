import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as clock from './index';

const test = uvu.suite('moments');

test('take the larger of both clocks, whichever of them leaves time out', () => {
  const manual = clock.createManualClock(1_000);
  const moment = clock.readMoment(manual);
  manual.advance(500);
  assert.is(clock.maxElapsedMs(manual, moment), 500);
  manual.jumpWall(-2_000);
  assert.is(clock.maxElapsedMs(manual, moment), 500, 'the wall clock was set back');
  manual.jumpWall(6_000);
  assert.is(clock.maxElapsedMs(manual, moment), 4_500, 'the machine was suspended');
});

test.run();
