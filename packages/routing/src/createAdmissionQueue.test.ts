import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as routing from './index';

const test = uvu.suite('admission queue');

const create = (capacity: number, slotMsPerToken = 10) =>
  routing.createAdmissionQueue({ capacity, slotMsPerToken });

const request = (
  id: string,
  fields: Partial<routing.AdmissionRequest> = {},
): routing.AdmissionRequest => ({
  id,
  customer: 'a',
  weight: 1,
  priority: 'interactive',
  deadlineAtMs: 1_000_000,
  estimatedTokens: 10,
  ...fields,
});

test('admits up to the capacity and queues beyond it', () => {
  const queue = create(2);
  assert.is(queue.offer(request('1'), 0).kind, 'admitted');
  assert.is(queue.offer(request('2'), 0).kind, 'admitted');
  assert.is(queue.offer(request('3'), 0).kind, 'queued');
  assert.equal(queue.release('1', 100), ['3']);
});

test('frees the slot of a cancelled running request and removes a cancelled queued one', () => {
  const queue = create(1);
  ['1', '2', '3'].forEach((id) => queue.offer(request(id), 0));
  assert.equal(queue.cancel('2', 1), []);
  assert.equal(queue.cancel('1', 1), ['3']);
  assert.is(queue.snapshot().queuedCount, 0);
});

test('refuses a request that cannot meet its deadline, with a retry delay', () => {
  const queue = create(1);
  queue.offer(request('1'), 0);
  queue.offer(request('2', { estimatedTokens: 100 }), 0);
  const decision = queue.offer(request('3', { deadlineAtMs: 600 }), 0);
  assert.is(decision.kind, 'refused');
  if (decision.kind !== 'refused') return;
  assert.is(decision.reason, 'deadline');
  assert.ok(decision.retryAfterMs >= 500 && decision.retryAfterMs <= 2_000);
});

test('refuses a request that takes longer than its deadline even when idle', () => {
  const decision = create(1).offer(request('1', { deadlineAtMs: 50 }), 0);
  assert.is(decision.kind === 'refused' && decision.reason, 'larger-than-deadline');
});

test('refuses while there is no capacity', () => {
  const decision = create(0).offer(request('1'), 0);
  assert.is(decision.kind === 'refused' && decision.reason, 'no-capacity');
});

test('spreads the retries of refused requests over the time that their work takes', () => {
  const queue = create(1);
  queue.offer(request('running', { estimatedTokens: 1_000 }), 0);
  const waits = Array.from({ length: 20 }, (_, index) => {
    const decision = queue.offer(request(`${index}`, { deadlineAtMs: 200 }), 0);
    return decision.kind === 'refused' ? decision.retryAfterMs : 0;
  });
  assert.is(waits[19]! - waits[0]!, 19 * 100);
});

test('refuses a request that would wait longer than a tenth of the time to its deadline', () => {
  const queue = create(1);
  queue.offer(request('1'), 0);
  assert.is(queue.offer(request('2', { deadlineAtMs: 600 }), 0).kind, 'queued');
  assert.is(queue.offer(request('3', { deadlineAtMs: 1_400 }), 0).kind, 'refused');
  assert.is(queue.offer(request('4', { deadlineAtMs: 1_600 }), 0).kind, 'queued');
});

test('expires only the requests that can no longer start in time', () => {
  const queue = create(1);
  queue.offer(request('1'), 0);
  queue.offer(request('2', { deadlineAtMs: 800 }), 0);
  queue.offer(request('3'), 0);
  assert.is(queue.nextExpiryAtMs(), 700);
  assert.equal(queue.expire(700), []);
  assert.equal(
    queue.expire(701).map(({ id }) => id),
    ['2'],
  );
  assert.equal(queue.release('1', 800), ['3']);
});

test('serves the requests of a customer in deadline order', () => {
  const queue = create(1);
  queue.offer(request('1'), 0);
  queue.offer(request('late', { deadlineAtMs: 9_000 }), 0);
  queue.offer(request('early', { deadlineAtMs: 5_000 }), 0);
  assert.equal(queue.release('1', 100), ['early']);
});

/**
 * Offers `rounds` requests per entry of `offers`, serves `rounds` of them and counts them by owner.
 */
const serve = (
  queue: routing.AdmissionQueue,
  offers: readonly Partial<routing.AdmissionRequest>[],
  rounds: number,
): Readonly<Record<string, number>> => {
  const owners = new Map<string, string>();
  offers.forEach((fields, index) =>
    Array.from({ length: rounds }, (_, turn) => {
      const id = `${index}-${turn}`;
      owners.set(id, fields.id ?? fields.customer ?? 'a');
      return queue.offer(request(id, { ...fields, id }), 0);
    }),
  );
  const served: Record<string, number> = {};
  let next = queue.setCapacity(1, 0);
  for (let round = 0; round < rounds; round += 1) {
    const id = next[0]!;
    served[owners.get(id)!] = (served[owners.get(id)!] ?? 0) + 1;
    next = queue.release(id, (round + 1) * 100);
  }
  return served;
};

/** Creates a queue whose only slot is occupied until the test sets the capacity. */
const createBusy = () => {
  const queue = create(1);
  queue.offer(request('busy'), 0);
  return {
    ...queue,
    setCapacity: (capacity: number, nowMs: number) => {
      queue.setCapacity(capacity, nowMs);
      return queue.cancel('busy', nowMs);
    },
  };
};

test('serves customers by weight, regardless of how many requests they send', () => {
  const served = serve(
    createBusy(),
    [
      { customer: 'large', weight: 2 },
      { customer: 'large', weight: 2 },
      { customer: 'large', weight: 2 },
      { customer: 'small', weight: 1 },
    ],
    90,
  );
  assert.equal(served, { large: 60, small: 30 });
});

test('reserves a small share for batch requests behind interactive requests of the same customer', () => {
  const served = serve(
    createBusy(),
    [{ id: 'interactive' }, { id: 'batch', priority: 'batch' }, { id: 'interactive' }],
    100,
  );
  assert.ok(served.batch! >= 9 && served.batch! <= 11, `batch was served ${served.batch}`);
});

test('serves batch requests within the share of their customer, after interactive ones of others', () => {
  const queue = createBusy();
  const offers = [
    { customer: 'flood' },
    { customer: 'flood' },
    { customer: 'batch', priority: 'batch' as const },
  ];
  const first = serve(queue, offers, 100);
  assert.is(first.batch, undefined);
  const later = serve(createBusy(), offers, 500);
  assert.ok(later.batch! >= 140, `batch was served ${later.batch} of 500`);
});

test('charges the tokens used instead of the estimate', () => {
  const queue = create(1);
  queue.offer(request('a1', { customer: 'a' }), 0);
  queue.offer(request('a2', { customer: 'a' }), 0);
  queue.offer(request('b1', { customer: 'b' }), 0);
  queue.offer(request('b2', { customer: 'b' }), 0);
  assert.equal(queue.release('a1', 100, 100), ['b1']);
  assert.equal(queue.release('b1', 200), ['b2']);
});

test('estimates the slot time per token from completed requests', () => {
  const queue = create(1, 1);
  for (let turn = 0; turn < 200; turn += 1) {
    queue.offer(request(`${turn}`), turn * 1_000);
    queue.release(`${turn}`, turn * 1_000 + 500);
  }
  assert.ok(Math.abs(queue.snapshot().slotMsPerToken - 50) < 1);
});

test('admits queued requests when the capacity grows and keeps running ones when it shrinks', () => {
  const queue = create(1);
  ['1', '2', '3'].forEach((id) => queue.offer(request(id), 0));
  assert.equal(queue.setCapacity(3, 0), ['2', '3']);
  assert.equal(queue.setCapacity(1, 0), []);
  queue.offer(request('4'), 0);
  assert.equal(queue.release('1', 100), []);
  assert.equal(queue.release('2', 100), []);
  assert.equal(queue.release('3', 100), ['4']);
});

test.run();
