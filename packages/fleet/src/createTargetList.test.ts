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

const settleMs = 2_300;

const sleep = (durationMs: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** A list at revision 30 in era 1, and then what a copy from revision 5 says in era 2. */
const createRestoredList = async (
  known: readonly ReturnType<typeof stored>[],
  copied: readonly ReturnType<typeof stored>[],
) => {
  const created = await createList({ list: known, version: 30, era: 1 });
  created.client.add({ fail: 'expired' }, { list: copied, version: 5, era: 2 });
  await waitForUpdates();
  return created;
};

// Guards against entries that are ignored for their lower versions after the store came back from an older copy.
test('takes what targets write again under lower versions in another era', async () => {
  const { list, client } = await createRestoredList([stored('a', 30)], [stored('a', 4)]);
  client.add({ watch: { version: 6, era: 2, changed: [stored('a', 6, 'leaving')] } });
  await waitForUpdates();
  assert.is(list.all().get('a')?.state, 'leaving');
});

// Guards against targets that are taken for what they were when the copy was made.
test('keeps what it knows in another era until targets have had time to write again', async () => {
  const { list, client, clock } = await createRestoredList(
    [stored('leaving', 29, 'leaving'), stored('new', 30), stored('gone', 28)],
    [stored('leaving', 3), stored('gone', 4), stored('departs', 5, 'leaving')],
  );
  assert.not(list.isSettled());
  assert.equal(idsOf(list), ['departs', 'gone', 'leaving', 'new']);
  assert.is(list.all().get('leaving')?.state, 'leaving');
  client.add({
    watch: { version: 7, era: 2, changed: [stored('new', 7)], deletedNames: ['gone'] },
  });
  await waitForUpdates();
  clock.advance(settleMs);
  await sleep(settleMs);
  assert.ok(list.isSettled());
  assert.equal(idsOf(list), ['departs', 'leaving', 'new']);
  assert.is(list.all().get('leaving')?.state, 'live', 'it has not written again');
});

test('does not bring back a target that was removed shortly before the store came back', async () => {
  const { list, client, clock } = await createList(
    { list: [stored('a', 30)], version: 30, era: 1 },
    { watch: { version: 31, era: 1, deletedNames: ['a'] } },
  );
  client.add({ fail: 'expired' }, { list: [stored('a', 4)], version: 5, era: 2 });
  await waitForUpdates();
  assert.equal(idsOf(list), []);
  clock.advance(settleMs);
  await sleep(settleMs);
  assert.equal(idsOf(list), ['a'], 'it is still listed');
});

test('ignores a list of an earlier era that another daemon shares, and enters a later one', async () => {
  const { list, client, clock } = await createRestoredList([stored('a', 30)], [stored('a', 4)]);
  const share = (era: number, version: number, state: string) =>
    list.applyShared(
      {
        era,
        cursor: { listId: 'other', changeCount: 1 },
        ageMs: 0,
        isWhole: true,
        changed: [{ version, target: { id: 'a', state, startedAtMs: 1 } as fleet.Target }],
        removedIds: [],
      },
      clocks.readTimestamp(clock),
    );
  share(1, 40, 'leaving');
  assert.is(list.all().get('a')?.state, 'live');
  share(3, 2, 'leaving');
  assert.is(list.all().get('a')?.state, 'leaving');
  assert.is(list.share(undefined)?.era, 3);
  client.add({ fail: 'expired' }, { list: [stored('a', 2)], version: 2, era: 3 });
  await waitForUpdates();
  client.add({ watch: { version: 3, era: 3, changed: [stored('a', 3)] } });
  await waitForUpdates();
  assert.is(list.all().get('a')?.state, 'live');
});

test('is not settled at once when the daemon started without the store', async () => {
  const { list, client, clock } = await createList({ fail: 'unreachable' });
  client.add({ list: [stored('a', 4)], version: 5 });
  await sleep(200);
  assert.equal(idsOf(list), ['a']);
  assert.not(list.isSettled());
  clock.advance(settleMs);
  assert.ok(list.isSettled());
});

const many = Array.from({ length: 1_000 }, (_, index) => stored(`t${index}`, index + 1));

/** Lets one list ask another for what differs, as a daemon does that checks in with a new holder. */
const askFor = (asking: fleet.TargetList, answering: fleet.TargetList) => {
  const shared = answering.share({ listId: 'gone', changeCount: 3 }, asking.summary())!;
  return JSON.parse(JSON.stringify(shared)) as fleet.SharedTargets;
};

// Guards against a new holder that sends its whole list to every daemon, and answers none of them in time.
test('shares only what differs with a daemon whose cursor is of another list', async () => {
  const { list: own, clock } = await createList({ list: many, version: 1_000 });
  const news = [stored('t5', 1_001, 'leaving'), stored('added', 1_002)];
  const without = many.filter(({ name }) => name !== 't7');
  const { list: holders } = await createList(
    { list: without, version: 1_000 },
    { watch: { version: 1_002, changed: news } },
  );
  const shared = askFor(own, holders);
  assert.not.ok(shared.isWhole);
  assert.ok(shared.changed.length < 100, `${shared.changed.length} entries`);
  clock.advance(100);
  own.applyShared(shared, clocks.readTimestamp(clock));
  assert.equal(idsOf(own), idsOf(holders));
  assert.is(own.all().get('t5')?.state, 'leaving');
  assert.equal(own.cursor(), shared.cursor);
  assert.equal(askFor(own, holders).changed, []);
});

test('takes nothing of a difference from a list that it no longer has', async () => {
  const { list: own, client, clock } = await createList({ list: many, version: 1_000 });
  const { list: holders } = await createList({ list: many.slice(1), version: 1_000 });
  const shared = askFor(own, holders);
  client.add({ watch: { version: 1_003, changed: [stored('t9', 1_003, 'leaving')] } });
  await waitForUpdates();
  clock.advance(100);
  own.applyShared(shared, clocks.readTimestamp(clock));
  assert.is(own.all().size, 1_000);
  assert.is(own.cursor(), undefined);
});

// Guards against entries that go back to an earlier state, and stay there while the list counts as current.
test('takes no list that was confirmed before the last answer of the store', async () => {
  const { list, client, clock } = await createList({ list: [stored('a', 1)], version: 1 });
  clock.advance(1_000);
  client.add({
    watch: { version: 4, changed: [stored('a', 3, 'leaving'), stored('b', 4)] },
  });
  await waitForUpdates();
  list.applyShared(
    {
      cursor: { listId: 'other', changeCount: 1 },
      ageMs: 500,
      isWhole: true,
      changed: [{ version: 1, target: { id: 'a', state: 'live' } as fleet.Target }],
      removedIds: [],
    },
    clocks.readTimestamp(clock),
  );
  client.add({ watch: { version: 4 } });
  await waitForUpdates();
  assert.equal(idsOf(list), ['a', 'b']);
  assert.is(list.all().get('a')?.state, 'leaving');
});

test('shares the whole list with a daemon of another era', async () => {
  const { list: own } = await createList({ list: many, version: 1_000, era: 1 });
  const { list: holders } = await createList({ list: many, version: 1_000, era: 2 });
  assert.ok(askFor(own, holders).isWhole);
});

test.run();
