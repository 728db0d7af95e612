import * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import * as telemetry from '@comfreydrum/telemetry';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import {
  createScriptedClient,
  type ScriptedResponse,
} from '../../object-store/src/testing/createScriptedClient';
import * as fleet from './index';

const test = uvu.suite('target list');

const stored = (name: string, version: number, state: unknown = 'live') => ({
  kind: 'targets',
  name,
  version,
  value: state,
});

const decode = (id: string, value: unknown): errors.Result<fleet.Target> =>
  value === 'live' || value === 'leaving'
    ? errors.ok({ id, state: value, startedAtMs: 1 } as fleet.Target)
    : errors.err({ kind: 'invalid', step: 'decode', peer: `store targets/${id}`, message: 'bad' });

const waitForUpdates = () =>
  new Promise((resolve) => {
    setTimeout(resolve, 20);
  });

const createList = async (...script: readonly ScriptedResponse[]) => {
  const clock = clocks.createManualClock(1_000_000);
  const client = createScriptedClient(...script);
  const list = fleet.createTargetList({
    client,
    clock,
    log: telemetry.createLog({ level: 'silent', instanceId: 'test' }),
    metrics: telemetry.createMetrics(),
    source: { kind: 'targets', decode },
    random: () => 0,
    minIntervalMs: () => 0,
    listId: 'test',
  });
  await list.component.start?.();
  await waitForUpdates();
  return { clock, client, list };
};

const idsOf = (list: fleet.TargetList) => [...list.all().keys()].sort();

test('applies added, changed and deleted entries', async () => {
  const { list, client } = await createList({
    list: [stored('a', 1), stored('b', 2)],
    version: 2,
  });
  assert.equal(idsOf(list), ['a', 'b']);
  client.add({
    watch: { version: 4, changed: [stored('a', 3, 'leaving')], deletedNames: ['b'] },
  });
  await waitForUpdates();
  assert.equal(idsOf(list), ['a']);
  assert.is(list.all().get('a')?.state, 'leaving');
});

test('omits entries that cannot be decoded and keeps the others', async () => {
  const { list, client } = await createList({
    list: [stored('a', 1), stored('x', 2, { colour: 'red' })],
    version: 2,
  });
  assert.equal(idsOf(list), ['a']);
  client.add({ watch: { version: 3, changed: [stored('a', 3, 17)] } });
  await waitForUpdates();
  assert.equal(idsOf(list), [], 'an entry that can no longer be decoded is removed');
});

test('ignores an older version of an entry', async () => {
  const { list, client } = await createList({ list: [stored('a', 5, 'leaving')], version: 5 });
  client.add({ watch: { version: 6, changed: [stored('a', 4, 'live')] } });
  await waitForUpdates();
  assert.is(list.all().get('a')?.state, 'leaving');
});

test('keeps missing entries for a grace period after a store outage', async () => {
  const { list, client, clock } = await createList({
    list: [stored('a', 1), stored('b', 2)],
    version: 2,
  });
  clock.advance(8_000);
  client.add({ fail: 'expired' }, { list: [], version: 9 });
  await waitForUpdates();
  assert.equal(idsOf(list), ['a', 'b']);
  client.add({ watch: { version: 10, changed: [stored('a', 10)] } });
  await new Promise((resolve) => {
    setTimeout(resolve, 2_400);
  });
  assert.equal(idsOf(list), ['a'], 'the entry that is still missing is removed');
});

test('removes missing entries at once when another daemon has recently shared the list', async () => {
  const { list, client, clock } = await createList({
    list: [stored('a', 1), stored('b', 2)],
    version: 2,
  });
  clock.advance(8_000);
  const target = (id: string) => ({ version: 3, target: { id, state: 'live' } as fleet.Target });
  list.applyShared(
    {
      cursor: { listId: 'other', changeCount: 1 },
      ageMs: 100,
      isWhole: true,
      changed: [target('a'), target('b')],
      removedIds: [],
    },
    clocks.readTimestamp(clock),
  );
  clock.advance(1_800);
  client.add({ fail: 'expired' }, { list: [stored('a', 4)], version: 9 });
  await waitForUpdates();
  assert.equal(idsOf(list), ['a']);
});

test.run();
