import * as clock from '@comfreydrum/clock';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createPartitionWriter } from './createPartitionWriter';
import type { ClaimOperation } from './LedgerOperation';
import { ledgerSettingsSchema } from './ledgerSettings';
import { createMemoryPlatform } from './testing/createMemoryPlatform';

const test = uvu.suite('createPartitionWriter');

const windowMs = 600_000;
const observer = { onBatch: () => {}, onConflict: () => {}, onSeal: () => {} };

const claimOf = (key: number, claimId = `claim-${key}`): ClaimOperation => ({
  kind: 'claim',
  keyId: Buffer.alloc(16, key).toString('base64url'),
  requestDigest: 'digest',
  claimId,
  windowMs,
  runLimitMs: 1,
  holder: { instanceId: 'a', incarnation: '1' },
  subject: { team: 't', customer: 'c', caller: 'c', routeName: 'r', key: String(key) },
});

const createWriter = (store = createMemoryPlatform(), clockSource = clock.createManualClock()) => {
  const settings = ledgerSettingsSchema.parse({ batchWindowMs: 1, sealAtBytes: 1_024 });
  const parts = { client: store, clockSource, settings, observer, partition: 0 };
  return { writer: createPartitionWriter(parts), store, clockSource };
};

const runKeys = async (writer: ReturnType<typeof createPartitionWriter>, count: number) => {
  for (let key = 0; key < count; key += 1) {
    await writer.submit(claimOf(key));
    await writer.submit({ ...claimOf(key), kind: 'finish', outcome: 'ran' });
  }
};

test('finds sealed keys, also from another writer', async () => {
  const { writer, store } = createWriter();
  await runKeys(writer, 100);
  assert.ok(store.names('ledger-segment').length > 0);
  const other = createWriter(store).writer;
  for (const key of [0, 50, 99]) {
    assert.is((await writer.submit(claimOf(key, 'again'))).kind, 'ran');
    assert.is((await other.submit(claimOf(key, 'again'))).kind, 'ran');
  }
  assert.is((await other.submit(claimOf(100))).kind, 'granted');
});

test('deletes segments that no head refers to', async () => {
  const { writer, store } = createWriter();
  await runKeys(writer, 250);
  assert.ok(store.names('ledger-segment').length < 12);
});

test('deletes expired entries and grants their keys again only after expiry', async () => {
  const { writer, store, clockSource } = createWriter();
  await runKeys(writer, 100);
  clockSource.shiftWallClock(10 * windowMs);
  assert.is((await writer.submit(claimOf(0, 'again'))).kind, 'ran');
  clockSource.advance(windowMs + 1);
  assert.is((await writer.submit(claimOf(0, 'again'))).kind, 'granted');
  await writer.submit(claimOf(101));
  assert.ok(store.names('ledger-segment').length < 4);
});

test('does not count time during which no writer had the partition loaded', async () => {
  const { writer, store, clockSource } = createWriter();
  await writer.submit(claimOf(0));
  await writer.submit({ ...claimOf(0), kind: 'finish', outcome: 'ran' });
  clockSource.advance(windowMs + 1);
  const other = createWriter(store).writer;
  assert.is((await other.submit(claimOf(0, 'again'))).kind, 'ran');
});

test('advances the clock of an unknown claim while its key is claimed repeatedly', async () => {
  const { writer, clockSource } = createWriter();
  const { keyId, claimId } = claimOf(0);
  await writer.submit(claimOf(0));
  await writer.submit({ kind: 'suspect', keyId, claimId });
  const { settleMs } = ledgerSettingsSchema.parse({});
  for (let passedMs = 0; passedMs <= settleMs; passedMs += 1_000) {
    assert.is((await writer.submit(claimOf(0, 'again'))).kind, 'unknown');
    clockSource.advance(1_000);
  }
  const resolve = { kind: 'resolve', keyId, claimId, outcome: 'not-run', who: 'test' } as const;
  assert.is((await writer.submit(resolve)).kind, 'recorded');
});

test('loses no change with two writers and ambiguous platform writes', async () => {
  const { writer, store } = createWriter();
  const other = createWriter(store).writer;
  let writes = 0;
  store.setWriteFault(({ kind }) => {
    writes += 1;
    if (kind !== 'ledger-head') return 'none';
    return (['none', 'lose-answer', 'lose-request'] as const)[writes % 3]!;
  });
  const keys = Array.from({ length: 60 }, (_, key) => key);
  const claims = keys.flatMap((key) => [
    writer.submit(claimOf(key, `a-${key}`)),
    other.submit(claimOf(key, `b-${key}`)),
  ]);
  const results = await Promise.all(claims);
  keys.forEach((key) => {
    const pair = [results[2 * key]!.kind, results[2 * key + 1]!.kind].sort();
    assert.equal(pair, ['claimed', 'granted']);
  });
});

test('does not delete a segment that a paused writer may still refer to', async () => {
  const { writer, store } = createWriter();
  await runKeys(writer, 20);
  let paused = false;
  store.setWriteFault(({ kind }) => {
    const isSegment = kind === 'ledger-segment';
    paused ||= isSegment;
    return isSegment ? 'lose-answer' : 'none';
  });
  for (let key = 20; !paused; key += 1) {
    await writer.submit(claimOf(key));
    await writer.submit({ ...claimOf(key), kind: 'finish', outcome: 'ran' });
  }
  store.setWriteFault(() => 'none');
  const other = createWriter(store).writer;
  await runKeys(other, 40);
  for (let key = 0; key < 40; key += 1) {
    assert.is((await writer.submit(claimOf(key, 'again'))).kind, 'ran', `key ${key}`);
  }
});

test('names the partition when it refuses because the stored head is invalid', async () => {
  const { writer, store } = createWriter();
  await store.put({ kind: 'ledger-head', name: 'partition-0' }, { entries: 1 }, 'absent');
  const result = await writer.submit(claimOf(0));
  assert.is(result.kind, 'refused');
  assert.match(result.kind === 'refused' ? result.reason : '', 'partition 0');
});

test.run();
