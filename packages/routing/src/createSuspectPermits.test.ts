import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as routing from './index';

const test = uvu.suite('suspect permits');

const startMs = 0;
const readyMs = routing.permitLeaseMs;

const createRequest = (
  fingerprint: string,
  targetId: string,
  requestId = `${fingerprint}-${targetId}`,
) => ({
  fingerprint,
  requestId,
  target: { targetId, generation: 1, failureDomain: 'derby-a' },
  holderId: 'daemon-1',
});

test('grants one run per suspect and one suspect per target at a time', () => {
  const permits = routing.createSuspectPermits(startMs);
  assert.is(permits.acquire(createRequest('f', 't1'), readyMs).kind, 'granted');
  const again = permits.acquire(createRequest('f', 't2'), readyMs);
  assert.ok(again.kind === 'wait' && again.busy === 'fingerprint');
  const other = permits.acquire(createRequest('g', 't1'), readyMs);
  assert.ok(other.kind === 'wait' && other.busy === 'target');
  assert.is(permits.acquire(createRequest('g', 't2'), readyMs).kind, 'granted');
});

test('grants a target to the next suspect once the previous one has freed it or ended', () => {
  const permits = routing.createSuspectPermits(startMs);
  permits.acquire(createRequest('f', 't1'), readyMs);
  permits.freeTarget('f-t1');
  assert.is(permits.acquire(createRequest('g', 't1'), readyMs).kind, 'granted');
  assert.is(permits.acquire(createRequest('f', 't2'), readyMs).kind, 'wait');
  permits.release('f-t1');
  assert.is(permits.acquire(createRequest('f', 't2'), readyMs).kind, 'granted');
  assert.is(permits.acquire(createRequest('h', 't1'), readyMs).kind, 'wait');
});

test('expires a permit that is not renewed', () => {
  const permits = routing.createSuspectPermits(startMs);
  permits.acquire(createRequest('f', 't1'), readyMs);
  assert.ok(permits.renew('f-t1', readyMs + 4_000));
  assert.is(permits.acquire(createRequest('f', 't2'), readyMs + 8_000).kind, 'wait');
  assert.is(permits.acquire(createRequest('f', 't2'), readyMs + 9_000).kind, 'granted');
  assert.not(permits.renew('f-t1', readyMs + 9_000));
});

test('grants nothing until the permits of the previous manager have expired', () => {
  const permits = routing.createSuspectPermits(startMs);
  permits.acquire(createRequest('f', 't1'), readyMs);
  permits.reset(20_000);
  const early = permits.acquire(createRequest('g', 't2'), 21_000);
  assert.ok(early.kind === 'wait' && early.busy === 'handover' && early.retryAfterMs === 4_000);
  assert.is(permits.acquire(createRequest('g', 't2'), 25_000).kind, 'granted');
});

test('returns the suspects that a lost target was running', () => {
  const permits = routing.createSuspectPermits(startMs);
  permits.acquire(createRequest('f', 't1'), readyMs);
  permits.acquire(createRequest('g', 't2'), readyMs);
  assert.equal(permits.onTargetLost(createRequest('f', 't1').target), ['f']);
  assert.is(permits.acquire(createRequest('f', 't3'), readyMs).kind, 'granted');
});

test.run();
