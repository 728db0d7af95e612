import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as regressions from './createLinearRegression';
import * as randoms from './createRandom';

const test = uvu.suite('linear regression');

test('estimates the slope of noisy points with a constant offset', () => {
  const random = randoms.createRandom(5);
  const regression = regressions.createLinearRegression(0.02);
  Array.from({ length: 500 }, () => {
    const x = random.index(4_000);
    return regression.add(x, 50 + 0.06 * x + random.index(20));
  });
  assert.ok(Math.abs(regression.slope(1) - 0.06) < 0.005, `slope is ${regression.slope(1)}`);
  assert.ok(
    Math.abs(regression.predict(100, 1) - 66) < 10,
    `value is ${regression.predict(100, 1)}`,
  );
  assert.ok(Math.abs(regression.ratio(1) - 0.09) < 0.01, `ratio is ${regression.ratio(1)}`);
});

test('returns the initial slope until there are enough points with different x', () => {
  const regression = regressions.createLinearRegression(0.02);
  assert.is(regression.slope(0.1), 0.1);
  assert.is(regression.predict(50, 0.1), 5);
  assert.is(regression.ratio(0.1), 0.1);
  Array.from({ length: 100 }, () => regression.add(100, 7));
  assert.is(regression.slope(0.1), 0.1);
  assert.is(regression.predict(50, 0.1), 7);
});

test.run();
