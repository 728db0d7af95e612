import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as routing from './index';

const test = uvu.suite('limits');

const createLimiter = () =>
  routing.createConcurrencyLimiter({
    maxConcurrent: 64,
    initialConcurrent: 16,
    firstTokenTargetMs: 1_100,
    betweenTokensTargetMs: 52,
  });

/** Simulates a group whose time between tokens grows by 1 ms per in-flight request. */
const feed = (limiter: routing.ConcurrencyLimiter, seconds: number, inFlightOf: () => number) => {
  for (let step = 0; step < seconds * 50; step += 1) {
    const inFlight = inFlightOf();
    limiter.onBetweenTokens(12 + inFlight, inFlight, step * 20);
  }
};

test('converges to the highest limit that meets the target for the time between tokens', () => {
  const limiter = createLimiter();
  feed(limiter, 60, limiter.limit);
  assert.ok(limiter.limit() >= 34 && limiter.limit() <= 42, `limit is ${limiter.limit()}`);
});

test('does not raise the limit while it is not used', () => {
  const limiter = createLimiter();
  feed(limiter, 60, () => 3);
  assert.is(limiter.limit(), 16);
});

test('lowers the limit when first tokens miss their target', () => {
  const limiter = createLimiter();
  for (let step = 0; step < 2_000; step += 1) {
    limiter.onFirstToken(10, limiter.limit(), step * 50);
  }
  assert.is(limiter.limit(), 64);
  for (let step = 2_000; step < 2_100; step += 1) limiter.onFirstToken(1_500, 64, step * 50);
  assert.ok(limiter.limit() < 48);
});

test('stays between a quarter of the upper bound and the upper bound', () => {
  const limiter = createLimiter();
  for (let step = 0; step < 10_000; step += 1) limiter.onFirstToken(1_500, 16, step * 50);
  assert.is(limiter.limit(), 16);
  limiter.setMaxConcurrent(8);
  for (let step = 0; step < 10_000; step += 1) {
    limiter.onFirstToken(10, limiter.limit(), 600_000 + step * 50);
  }
  assert.is(limiter.limit(), 8);
});

const createRetry = (targetId = 't2', deadlineAtMs = 1_000): routing.RetryRequest => ({
  targetId,
  triedIds: new Set(['t1']),
  deadlineAtMs,
  expectedMs: 100,
});

test('limits retries to a fraction of the first attempts', () => {
  const budget = routing.createRetryBudget({ fraction: 0.1, reserve: 5 });
  let allowedCount = 0;
  for (let turn = 0; turn < 1_000; turn += 1) {
    budget.onFirstAttempt();
    if (budget.tryRetry(createRetry(), 0).kind === 'allowed') allowedCount += 1;
  }
  assert.ok(allowedCount >= 100 && allowedCount <= 105, `${allowedCount} retries were allowed`);
});

test('denies a retry on a tried target or past the deadline without spending the budget', () => {
  const budget = routing.createRetryBudget({ fraction: 0.1, reserve: 1 });
  assert.equal(budget.tryRetry(createRetry('t1'), 0), { kind: 'denied', reason: 'target-tried' });
  assert.equal(budget.tryRetry(createRetry('t2', 50), 0), {
    kind: 'denied',
    reason: 'past-deadline',
  });
  assert.is(budget.tryRetry(createRetry(), 0).kind, 'allowed');
  assert.equal(budget.tryRetry(createRetry(), 0), { kind: 'denied', reason: 'budget-spent' });
});

test('leaves part of the reserve to requests that fail without a retry', () => {
  const budget = routing.createRetryBudget({ fraction: 0.1, reserve: 8 });
  const optional = { ...createRetry(), isOptional: true };
  const countAllowed = (request: routing.RetryRequest) => {
    let count = 0;
    while (budget.tryRetry(request, 0).kind === 'allowed') count += 1;
    return count;
  };
  assert.is(countAllowed(optional), 6);
  assert.is(countAllowed(createRetry()), 2);
});

test.run();
