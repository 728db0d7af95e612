import * as objectStore from '@comfreydrum/object-store';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as testing from '../index';

interface Context {
  standin: testing.PlatformStandin;
  client: objectStore.PlatformClient;
}

const test = uvu.suite<Context>('platform stand-in');
const key = { kind: 'configuration', name: 'navarra-norte' };

test.before.each(async (context) => {
  context.standin = testing.createPlatformStandin({ historyLength: 4 });
  const { url } = await context.standin.start();
  context.client = objectStore.createHttpPlatformClient({ url, callTimeoutMs: 500 });
});

test.after.each(({ standin }) => standin.stop());

const kindOf = (result: Awaited<ReturnType<objectStore.PlatformClient['put']>>) =>
  result.ok ? 'ok' : result.error.kind;

test('writes only when the version condition is met', async ({ client }) => {
  assert.is(kindOf(await client.put(key, { a: 1 }, 'absent')), 'ok');
  assert.is(kindOf(await client.put(key, { a: 2 }, 'absent')), 'conflict');
  assert.is(kindOf(await client.put(key, { a: 2 }, { version: 1 })), 'ok');
  assert.is(kindOf(await client.put(key, { a: 3 }, { version: 1 })), 'conflict');
  const read = await client.get(key);
  assert.equal(read.ok && read.value, { ...key, version: 2, value: { a: 2 } });
});

test('rejects a value over the size limit', async ({ client }) => {
  const result = await client.put(key, 'x'.repeat(1_048_576), 'absent');
  assert.is(kindOf(result), 'too-large');
});

test('answers a watch at the first change and expires one whose version is too old', async ({
  client,
}) => {
  const waiting = client.watch('configuration', 0, 5_000);
  await client.put(key, 1, 'absent');
  const batch = await waiting;
  assert.equal(batch.ok && batch.value.changed.map(({ name }) => name), ['navarra-norte']);
  for (let version = 1; version < 12; version += 1) await client.put(key, 1, { version });
  const old = await client.watch('configuration', 1, 5_000);
  assert.is(old.ok ? '' : old.error.kind, 'expired');
});

test('drops the response of a write that took effect', async ({ client, standin }) => {
  standin.setFaults({ loseAnswers: { count: 1, methods: ['PUT'] } });
  assert.is(kindOf(await client.put(key, 'kept', 'absent')), 'ambiguous');
  const read = await client.get(key);
  assert.is(read.ok && read.value.value, 'kept');
  assert.is(standin.counts().lostAnswers, 1);
});

test('answers 503 or hangs during an outage and counts every call', async ({ client, standin }) => {
  const waiting = client.watch('configuration', 0, 5_000);
  await testing.waitUntil(() => standin.counts().watches === 1, 1_000, 'the watch to arrive');
  standin.setFaults({ outage: 'refuse' });
  assert.not.ok((await waiting).ok);
  assert.is(kindOf(await client.put(key, 1, 'absent')), 'unreachable');
  standin.setFaults({ outage: 'hang' });
  assert.is(kindOf(await client.put(key, 1, 'absent')), 'ambiguous');
  standin.setFaults({ outage: 'none' });
  const read = await client.get(key);
  assert.is(read.ok ? '' : read.error.kind, 'not-found');
  const { reads, writes, watches } = standin.counts();
  assert.equal({ reads, writes, watches }, { reads: 1, writes: 2, watches: 1 });
});

test.run();
