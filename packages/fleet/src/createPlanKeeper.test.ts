import * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import * as telemetry from '@comfreydrum/telemetry';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import {
  createScriptedClient,
  type ScriptedAnswer,
} from '../../object-store/src/testing/createScriptedClient';
import * as fleet from './index';

const test = uvu.suite('traffic plan');

const key = { kind: 'plans', name: 'main' };

const stored = (revision: number | 'unreadable', version: number) => ({
  ...key,
  version,
  value: revision,
});

const decode = (value: unknown): errors.Result<fleet.TrafficPlan> =>
  typeof value === 'number'
    ? errors.ok({ revision: value } as fleet.TrafficPlan)
    : errors.err({ kind: 'invalid', step: 'decode', peer: 'store', message: 'no number' });

const settle = () =>
  new Promise((resolve) => {
    setTimeout(resolve, 20);
  });

const createKeeper = (...script: readonly ScriptedAnswer[]) => {
  const clock = clocks.createManualClock(1_000_000);
  const client = createScriptedClient(...script);
  const keeper = fleet.createPlanKeeper({
    client,
    clock,
    log: telemetry.createLog({ level: 'silent', instanceId: 'test' }),
    source: { key, decode },
    random: () => 0,
  });
  return { clock, client, keeper };
};

test('holds no plan and proves nothing before the first answer', async () => {
  const { keeper } = createKeeper();
  assert.is(keeper.current(), undefined);
  assert.is(keeper.ageMs(), Infinity);
});

test('never goes back to an earlier revision', async () => {
  const { keeper } = createKeeper(
    { list: [stored(4, 10)], version: 10 },
    { watch: { version: 11, changed: [stored(6, 11)] } },
    { watch: { version: 12, changed: [stored(5, 12)] } },
  );
  await keeper.part.start?.();
  await settle();
  assert.is(keeper.current()?.revision, 6);
});

test('keeps the last good plan beside one that can not be read, and counts it as unproved', async () => {
  const { keeper, clock } = createKeeper(
    { list: [stored(4, 10)], version: 10 },
    { watch: { version: 11, changed: [stored('unreadable', 11)] } },
  );
  await keeper.part.start?.();
  await settle();
  assert.is(keeper.current()?.revision, 4);
  clock.advance(3_000);
  assert.ok(keeper.ageMs() >= 3_000);
});

test('ages by either clock, and is proved anew by one read', async () => {
  const { keeper, clock, client } = createKeeper({ list: [stored(4, 10)], version: 10 });
  await keeper.part.start?.();
  await settle();
  assert.is(keeper.ageMs(), 0);
  clock.jumpWall(5_000);
  assert.is(keeper.ageMs(), 5_000, 'the machine may have been suspended');
  assert.ok(await keeper.ensureFresh(6_000), 'a proof that is young enough needs no call');
  const fresh = keeper.ensureFresh(4_000);
  // The watch that waits takes the first answer, the read the second.
  client.add({ fail: 'unreachable' }, { object: stored(5, 13) });
  assert.ok(await fresh);
  assert.is(keeper.current()?.revision, 5);
});

test('says that it is not fresh when the store gives no answer', async () => {
  const { keeper, clock } = createKeeper(
    { list: [stored(4, 10)], version: 10 },
    { fail: 'unreachable' },
    { fail: 'unreachable' },
    { fail: 'unreachable' },
  );
  await keeper.part.start?.();
  await settle();
  clock.advance(5_000);
  assert.not(await keeper.ensureFresh(4_000));
});

test.run();
