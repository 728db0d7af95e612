import { performance } from 'node:perf_hooks';
import * as clock from '@comfreydrum/clock';
import * as telemetry from '@comfreydrum/telemetry';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { ledgerSettingsSchema, type ClaimDecision, type Grant } from './index';
import { createMemoryFleet } from './testing/createMemoryFleet';
import { createMemoryPlatform } from './testing/createMemoryPlatform';
import { testRequest as request } from './testing/testRequest';

const test = uvu.suite('createLedger');

const settings = {
  batchWindowMs: 2,
  forwardTimeoutMs: 50,
  askTimeoutMs: 50,
  claimTimeoutMs: 1_000,
  outageRetryMs: 20,
  outageRetryLimitMs: 40,
  partitionCount: 2,
};

const deadlineInTwoSeconds = () => performance.now() + 2_000;

const grantOf = (decision: ClaimDecision): Grant => {
  if (decision.kind !== 'granted') throw new Error(`got ${decision.kind}`);
  return decision.grant;
};

const startTwo = async (changes: object = {}) => {
  const store = createMemoryPlatform();
  const fleet = createMemoryFleet(store, { settings: { ...settings, ...changes } });
  const first = await fleet.start('a');
  const second = await fleet.start('b');
  return { store, fleet, first, second };
};

test('grants a key once and returns the stored answer to resends at any daemon', async () => {
  const { first, second } = await startTwo();
  const grant = grantOf(await first.ledger.claim(request, deadlineInTwoSeconds()));
  assert.is((await second.ledger.claim(request, deadlineInTwoSeconds())).kind, 'running');
  assert.is((await first.ledger.claim(request, deadlineInTwoSeconds())).kind, 'running');
  assert.ok(grant.tryDispatch());
  assert.not.ok(grant.tryDispatch());
  const answer = { statusCode: 201, contentType: 'application/json', bodyBase64: 'e30=' };
  await first.ledger.finish(grant, { kind: 'ran', answer });
  assert.equal(await second.ledger.claim(request, deadlineInTwoSeconds()), { kind: 'ran', answer });
});

test('uses the stored partition count and records an event if the settings differ', async () => {
  const fleet = createMemoryFleet(createMemoryPlatform(), { settings });
  const first = await fleet.start('a');
  const timeline = telemetry.createTimeline(
    'b',
    clock.createHybridClock(clock.createSystemClock()),
  );
  const second = await fleet.start('b', {
    settings: { ...settings, partitionCount: 64 },
    timeline,
  });
  const requests = Array.from({ length: 16 }, (_, index) => ({ ...request, key: `key-${index}` }));
  for (const one of requests) {
    grantOf(await first.ledger.claim(one, deadlineInTwoSeconds()));
    assert.is((await second.ledger.claim(one, deadlineInTwoSeconds())).kind, 'running');
  }
  const mismatchEvents = timeline.read().filter(({ step }) => step === 'ledger.layout differs');
  assert.equal(
    mismatchEvents.map(({ text }) => text),
    ['2 partitions on the platform, 64 in the settings'],
  );
});

test('refuses a key that is reused for a different request', async () => {
  const { first, second } = await startTwo();
  grantOf(await first.ledger.claim(request, deadlineInTwoSeconds()));
  const other = { ...request, requestDigest: 'b'.repeat(64) };
  assert.is((await second.ledger.claim(other, deadlineInTwoSeconds())).kind, 'key-reused');
});

test('grants a key again after its holder reported that the request did not run', async () => {
  const { first, second } = await startTwo();
  const grant = grantOf(await first.ledger.claim(request, deadlineInTwoSeconds()));
  await first.ledger.finish(grant, { kind: 'not-run' });
  assert.not.ok(grant.tryDispatch());
  assert.ok(grantOf(await second.ledger.claim(request, deadlineInTwoSeconds())).tryDispatch());
});

test('grants a key again when the grant of a live holder has expired', async () => {
  const fleet = createMemoryFleet(createMemoryPlatform(), { settings });
  const manual = clock.createManualClock();
  const first = await fleet.start('a', { clock: manual });
  const second = await fleet.start('b');
  const grant = grantOf(await first.ledger.claim(request, 2_000));
  manual.advance(ledgerSettingsSchema.parse({}).grantLifetimeMs + 1);
  assert.ok(grantOf(await second.ledger.claim(request, deadlineInTwoSeconds())).tryDispatch());
  assert.not.ok(grant.tryDispatch());
});

test('decides unknown when the holder is unreachable', async () => {
  const { fleet, first, second } = await startTwo();
  grantOf(await first.ledger.claim(request, deadlineInTwoSeconds()));
  fleet.isolate('a');
  assert.is((await second.ledger.claim(request, deadlineInTwoSeconds())).kind, 'unknown');
});

test('does not treat a restarted daemon as the holder of its earlier claims', async () => {
  const { fleet, first, second } = await startTwo();
  grantOf(await first.ledger.claim(request, deadlineInTwoSeconds())).tryDispatch();
  const restarted = await fleet.start('a');
  assert.is((await restarted.ledger.claim(request, deadlineInTwoSeconds())).kind, 'unknown');
  assert.is((await second.ledger.claim(request, deadlineInTwoSeconds())).kind, 'unknown');
});

test('records an outcome from a holder that was suspected before', async () => {
  const { fleet, first, second } = await startTwo();
  const grant = grantOf(await first.ledger.claim(request, deadlineInTwoSeconds()));
  grant.tryDispatch();
  fleet.kill('a');
  assert.is((await second.ledger.claim(request, deadlineInTwoSeconds())).kind, 'unknown');
  fleet.heal('a');
  await first.ledger.finish(grant, { kind: 'ran' });
  assert.is((await second.ledger.claim(request, deadlineInTwoSeconds())).kind, 'ran');
});

test('refuses claims immediately during a platform outage and recovers after it', async () => {
  const { store, first } = await startTwo();
  const grant = grantOf(await first.ledger.claim(request, deadlineInTwoSeconds()));
  grant.tryDispatch();
  store.setOutage('refuse');
  const finishing = first.ledger.finish(grant, { kind: 'ran' });
  const other = { ...request, key: 'waiver-2' };
  const refused = await first.ledger.claim(other, deadlineInTwoSeconds());
  assert.is(refused.kind === 'refused' && refused.retryAfterMs > 0, true);
  const startedAtMs = performance.now();
  assert.is((await first.ledger.claim(other, deadlineInTwoSeconds())).kind, 'refused');
  assert.ok(performance.now() - startedAtMs < 20);
  store.setOutage('none');
  await finishing;
  assert.is((await first.ledger.claim(request, deadlineInTwoSeconds())).kind, 'ran');
  assert.ok(grantOf(await first.ledger.claim(other, deadlineInTwoSeconds())).tryDispatch());
});

test('refuses a claim at its deadline when the platform does not respond', async () => {
  const { store, first } = await startTwo();
  store.setOutage('hang');
  const decision = await first.ledger.claim(request, performance.now() + 30);
  assert.is(decision.kind, 'refused');
});

for (const fault of ['lose-answer', 'lose-request', 'delay-effect'] as const) {
  test(`grants a key only once under the write fault ${fault}`, async () => {
    const { store, first, second } = await startTwo();
    let faultsLeft = 2;
    store.setWriteFault(({ kind }) => {
      if (kind !== 'ledger-head' || faultsLeft === 0) return 'none';
      faultsLeft -= 1;
      return fault;
    });
    const decisions = await Promise.all([
      first.ledger.claim(request, deadlineInTwoSeconds()),
      second.ledger.claim(request, deadlineInTwoSeconds()),
    ]);
    store.applyDelayed();
    const takes = decisions.filter(
      (decision) => decision.kind === 'granted' && decision.grant.tryDispatch(),
    );
    assert.is(takes.length, 1);
    assert.is((await second.ledger.claim(request, deadlineInTwoSeconds())).kind, 'running');
  });
}

test('claims a new key with one platform write and no read once the partition is loaded', async () => {
  const { store, first } = await startTwo({ partitionCount: 1 });
  grantOf(await first.ledger.claim(request, deadlineInTwoSeconds()));
  const before = store.counts();
  grantOf(await first.ledger.claim({ ...request, key: 'waiver-2' }, deadlineInTwoSeconds()));
  const { reads, writes } = store.counts();
  assert.equal([reads - before.reads, writes - before.writes], [0, 1]);
});

test.run();
