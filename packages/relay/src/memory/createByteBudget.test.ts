import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createByteBudget } from './createByteBudget';

const test = uvu.suite('byte budget');

const limitBytes = 1_000_000;

const createBudget = () => {
  const budget = createByteBudget(limitBytes);
  const evicted: string[] = [];
  const hold = (name: string, bytes: number) => {
    const holding = budget.hold(() => evicted.push(name));
    holding.resize(bytes);
    return holding;
  };
  return { budget, evicted, hold };
};

test('evicts the largest holding first, whichever grows beyond the limit', () => {
  const { budget, evicted, hold } = createBudget();
  const first = hold('first', 300_000);
  hold('largest', 600_000);
  first.resize(500_000);
  assert.equal(evicted, ['largest']);
  assert.is(budget.heldBytes(), 500_000);
  hold('newest', 500_001);
  assert.equal(evicted, ['largest', 'newest']);
});

test('keeps small holdings and those that are pinned', () => {
  const { budget, evicted, hold } = createBudget();
  hold('pinned', 990_000).pin();
  hold('small', 16_000);
  assert.equal(evicted, []);
  hold('other', 20_000);
  assert.equal(evicted, ['other']);
  assert.is(budget.heldBytes(), 1_006_000);
});

test('counts nothing of a holding that was released or evicted', () => {
  const { budget, evicted, hold } = createBudget();
  const released = hold('released', 700_000);
  released.release();
  released.resize(2_000_000);
  const tooLarge = hold('too large', 2_000_000);
  tooLarge.resize(3_000_000);
  tooLarge.release();
  assert.equal(evicted, ['too large']);
  assert.is(budget.heldBytes(), 0);
  assert.is(budget.evictedCount(), 1);
});

test('never holds more than the limit and the small holdings, whatever grows', () => {
  const { budget, hold } = createBudget();
  const holdings = Array.from({ length: 40 }, (_, index) => hold(String(index), 0));
  for (let round = 1; round <= 500; round += 1) {
    holdings[(round * 17) % 40]!.resize(round * 4_001);
    assert.ok(budget.heldBytes() <= limitBytes + 40 * 16_384);
  }
});

test.run();
