import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as routing from './index';

const test = uvu.suite('lookup cache');

const key = (fields: Partial<routing.LookupKey> = {}): routing.LookupKey => ({
  team: 'navarra',
  customer: 'a',
  caller: 'mediator-1',
  routeName: 'cases',
  target: 'GET /cases/7',
  ...fields,
});

const fetchOnce = (
  cache: routing.LookupCache<string>,
  lookup: routing.LookupKey,
  answer: string,
  nowMs = 0,
) => {
  const decision = cache.find(lookup, nowMs);
  if (decision.kind !== 'fetch') throw new Error(`expected a fetch, got ${decision.kind}`);
  decision.flight.succeed(answer, answer.length, 1_000, nowMs);
};

test('serves a repeated lookup from the cache until the entry expires', () => {
  const cache = routing.createLookupCache<string>();
  fetchOnce(cache, key(), 'case 7');
  assert.equal(cache.find(key(), 999), { kind: 'hit', answer: 'case 7' });
  assert.is(cache.find(key(), 1_000).kind, 'fetch');
});

test('coalesces concurrent lookups of one caller', async () => {
  const cache = routing.createLookupCache<string>();
  const first = cache.find(key(), 0);
  const second = cache.find(key(), 1);
  assert.is(second.kind, 'join');
  if (first.kind !== 'fetch' || second.kind !== 'join') return;
  first.flight.succeed('case 7', 6, 0, 5);
  assert.is(await second.answer, 'case 7');
  assert.is(cache.find(key(), 6).kind, 'fetch');
});

test('never shares answers between callers, customers, teams, routes or targets', () => {
  const cache = routing.createLookupCache<string>();
  fetchOnce(cache, key(), 'case 7');
  const others: readonly Partial<routing.LookupKey>[] = [
    { caller: 'mediator-2' },
    { customer: 'b' },
    { team: 'midlands' },
    { routeName: 'desk' },
    { target: 'GET /cases/8' },
    { customer: 'a","mediator-1', caller: '' },
  ];
  others.forEach((fields) => assert.is(cache.find(key(fields), 1).kind, 'fetch'));
});

test('resolves joined lookups with undefined when the first one fails', async () => {
  const cache = routing.createLookupCache<string>();
  const first = cache.find(key(), 0);
  const second = cache.find(key(), 1);
  if (first.kind !== 'fetch' || second.kind !== 'join') throw new Error('expected a join');
  first.flight.fail();
  assert.is(await second.answer, undefined);
  assert.is(cache.find(key(), 2).kind, 'fetch');
});

test('drops cached answers and does not cache those in flight after an invalidation', () => {
  const cache = routing.createLookupCache<string>();
  fetchOnce(cache, key(), 'old');
  const other = key({ target: 'GET /cases/8' });
  const underWay = cache.find(other, 1);
  cache.invalidate(key());
  if (underWay.kind === 'fetch') underWay.flight.succeed('old', 3, 1_000, 2);
  assert.is(cache.find(key(), 3).kind, 'fetch');
  assert.is(cache.find(other, 3).kind, 'fetch');
});

test('evicts the oldest answers beyond its bounds', () => {
  const cache = routing.createLookupCache<string>({ maxEntries: 2, maxBytes: 10 });
  ['1', '2', '3'].forEach((target) => fetchOnce(cache, key({ target }), 'abc'));
  assert.is(cache.find(key({ target: '1' }), 1).kind, 'fetch');
  assert.is(cache.find(key({ target: '3' }), 1).kind, 'hit');
  fetchOnce(cache, key({ target: '4' }), 'x'.repeat(9));
  assert.is(cache.find(key({ target: '3' }), 1).kind, 'fetch');
});

test.run();
