import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import {
  evenLoad,
  unevenLoad,
  listPlacingCases,
  type PlacingCase,
} from './testing/listPlacingCases';

const test = uvu.suite('placing under load');

const compare = ({ mean }: PlacingCase, field: 'lateFraction' | 'queuedFraction') => {
  const byCost = mean('by-cost', field);
  const byNumber = mean('by-number', field);
  assert.ok(byCost < byNumber, `${byCost} by cost, ${byNumber} by number`);
};

listPlacingCases({ daemonCount: 26, headCount: 12, checkInIntervalMs: 300 }, [
  evenLoad,
  unevenLoad,
]).forEach((placing) => {
  test(`fewer first events are late: ${placing.title}`, () => compare(placing, 'lateFraction'));
  test(`fewer streams wait at a head: ${placing.title}`, () => compare(placing, 'queuedFraction'));
});

test.run();
