import * as fc from 'fast-check';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { applyOperations, type ApplyContext } from './applyOperations';
import type { ClaimOperation, LedgerOperation } from './LedgerOperation';

const test = uvu.suite('applyOperations');

const context: ApplyContext = {
  clockMs: 0,
  settleMs: 1_000,
  minWindowMs: 10,
  sealed: new Map(),
};

const claim: ClaimOperation = {
  kind: 'claim',
  keyId: 'key',
  requestDigest: 'digest',
  claimId: 'first',
  windowMs: 100,
  runLimitMs: 5_000,
  holder: { instanceId: 'a', incarnation: '1' },
  subject: { team: 't', customer: 'c', caller: 'c', routeName: 'r', key: 'k' },
};
const again: ClaimOperation = { ...claim, claimId: 'second' };
const unknown: LedgerOperation = { ...claim, kind: 'finish', outcome: 'unknown' };
const suspect: LedgerOperation = { kind: 'suspect', keyId: 'key', claimId: 'first' };

const resultOf = (operations: readonly LedgerOperation[], last: LedgerOperation, clockMs = 0) => {
  const before = applyOperations(new Map(), operations, context).entries;
  return applyOperations(before, [last], { ...context, clockMs }).results[0]!;
};

test('keeps a key at least as long as its request may still reach the target', () => {
  assert.is(resultOf([claim], again, 6_000).kind, 'claimed');
  assert.is(resultOf([claim], again, 6_001).kind, 'granted');
});

test('supersedes a claim as never dispatched only if its holder has not reported it as unknown', () => {
  const supersedes = { claimId: 'first', because: 'never-dispatched' } as const;
  assert.is(resultOf([claim], { ...again, supersedes }).kind, 'granted');
  assert.is(resultOf([claim, suspect], { ...again, supersedes }).kind, 'granted');
  assert.is(resultOf([claim, unknown], { ...again, supersedes }).kind, 'unknown');
});

test('resolves a claim as not-run only once its request can no longer reach the target', () => {
  const resolve = { ...suspect, kind: 'resolve', outcome: 'not-run', who: 'target' } as const;
  assert.is(resultOf([claim], resolve, 60_000).kind, 'superseded');
  assert.equal(resultOf([claim], resolve), { kind: 'too-early', retryAfterMs: 6_000 });
  assert.equal(resultOf([claim, suspect], resolve, 5_999), { kind: 'too-early', retryAfterMs: 1 });
  assert.is(resultOf([claim, suspect], resolve, 6_000).kind, 'recorded');
  assert.is(resultOf([claim], { ...resolve, outcome: 'ran' }).kind, 'recorded');
});

test('records the outcome that the holder reports after it was suspected', () => {
  const ran: LedgerOperation = { ...claim, kind: 'finish', outcome: 'ran' };
  assert.is(resultOf([claim, suspect, ran], again).kind, 'ran');
});

const operations = fc.constantFrom<LedgerOperation>(
  claim,
  again,
  unknown,
  suspect,
  { ...claim, kind: 'finish', outcome: 'ran' },
  { ...claim, kind: 'finish', outcome: 'not-run' },
  { ...again, kind: 'finish', outcome: 'ran' },
  { ...again, supersedes: { claimId: 'first', because: 'never-dispatched' } },
);

test('changes no entry when an operation is retried after a lost response', () => {
  fc.assert(
    fc.property(fc.array(operations, { maxLength: 8 }), operations, (earlier, last) => {
      const before = applyOperations(new Map(), earlier, context).entries;
      const once = applyOperations(before, [last], context);
      const twice = applyOperations(once.entries, [last], context);
      assert.equal(twice.entries, once.entries);
    }),
    { seed: 12 },
  );
});

test.run();
