import * as clock from '@comfreydrum/clock';
import * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import * as telemetry from '@comfreydrum/telemetry';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import type { FabricDomainRecord, GroupPhase } from '../FabricDomainRecord';
import { createFakePlatform } from '../testing/createFakePlatform';
import { createLoadSlots } from './createLoadSlots';
import { weightStoreSchema } from './WeightStoreRecord';

const test = uvu.suite('load slots');
const team = 'navarra';

/** Groups of the model `drafting` load at 100 bytes per second, those of `search` at 50. */
const createDocument = (storeBytesPerSecond: number | undefined) => {
  const model = { version: '1', targetKind: 'engine', instancesPerGroup: 1, loadTimeMs: 1_000 };
  return errors.unwrap(
    configuration.checkConfiguration(
      {
        team,
        failureDomains: [],
        targetKinds: [{ name: 'engine', protocol: 'engine' }],
        models: [
          { ...model, name: 'drafting', groups: 2, weightBytes: 100 },
          { ...model, name: 'search', groups: 2, weightBytes: 50 },
          { ...model, name: 'unsized', groups: 1 },
        ],
        ...(storeBytesPerSecond === undefined
          ? {}
          : { weightStoreBytesPerSecond: storeBytesPerSecond }),
      },
      'test',
    ),
  );
};

type Group = readonly [groupId: string, modelName: string, phase: GroupPhase, generation: number];

const createRecord = (generation: number, ...groups: readonly Group[]): FabricDomainRecord => ({
  generation,
  writer: 'w',
  writeId: 'w',
  assignments: {},
  groups: Object.fromEntries(
    groups.map(([groupId, modelName, phase, groupGeneration]) => [
      groupId,
      {
        team,
        modelName,
        modelVersion: '1',
        adapters: [],
        targetKind: 'engine',
        maxConcurrent: 1,
        phase,
        generation: groupGeneration,
      },
    ]),
  ),
});

type Records = Readonly<Record<string, FabricDomainRecord>>;

const createPlannedRecord = (groupId: string, modelName = 'drafting') =>
  createRecord(1, [groupId, modelName, 'planned', 1]);

const createTestSystem = (storeBytesPerSecond: number | undefined) => {
  const platform = createFakePlatform();
  const system = clock.createManualClock();
  const createController = () => {
    let records = new Map<string, FabricDomainRecord>();
    const slots = createLoadSlots({
      clock: system,
      log: telemetry.createLog({ level: 'silent', instanceId: 'entry' }),
      platform,
      configuration: { current: () => [createDocument(storeBytesPerSecond)] },
      records: () => records,
      random: () => 0.5,
    });
    return {
      setRecords: (newRecords: Records) => {
        records = new Map(Object.entries(newRecords));
      },
      claim: slots.claim,
      /** Returns the known groups that this controller allows to load. */
      mayLoad: () =>
        [...records.values()].flatMap((record) =>
          Object.keys(record.groups).filter((groupId) => slots.mayLoad(record, groupId)),
        ),
    };
  };
  const read = () => weightStoreSchema.parse(platform.read(team)).slots;
  return { platform, system, createController, read };
};

test('allows every load without a slot where the rate of the weight store is not limited', async () => {
  const { platform, createController } = createTestSystem(undefined);
  const controller = createController();
  controller.setRecords({ x: createPlannedRecord('x.1') });
  await controller.claim('x');
  assert.equal(controller.mayLoad(), ['x.1']);
  assert.is(platform.read(team), undefined);
});

test('keeps two controllers within the rate, though neither knows the group of the other', async () => {
  const { createController, system, read } = createTestSystem(150);
  const [first, second] = [createController(), createController()];
  first.setRecords({ x: createPlannedRecord('x.1') });
  second.setRecords({ y: createPlannedRecord('y.1') });
  await Promise.all([first.claim('x'), second.claim('y')]);
  const winner = first.mayLoad().length === 1 ? first : second;
  const loser = winner === first ? second : first;
  assert.is(first.mayLoad().length + second.mayLoad().length, 1);
  system.advance(1_000);
  await loser.claim(loser === first ? 'x' : 'y');
  assert.equal(loser.mayLoad(), []);
  assert.is(Object.keys(read()).length, 1);
});

test('frees the slot once the group has loaded, without a write to release it', async () => {
  const { createController, system } = createTestSystem(100);
  const controller = createController();
  controller.setRecords({ x: createPlannedRecord('x.1'), y: createPlannedRecord('y.1') });
  await controller.claim('x');
  await controller.claim('y');
  assert.equal(controller.mayLoad(), ['x.1']);
  controller.setRecords({
    x: createRecord(2, ['x.1', 'drafting', 'loading', 2]),
    y: createPlannedRecord('y.1'),
  });
  system.advance(1_000);
  await controller.claim('y');
  assert.equal(controller.mayLoad(), []);
  controller.setRecords({
    x: createRecord(3, ['x.1', 'drafting', 'ready', 2]),
    y: createPlannedRecord('y.1'),
  });
  await controller.claim('y');
  assert.equal(controller.mayLoad(), ['y.1']);
});

test('finds its slot again after a lost response, and after another controller took over', async () => {
  const { platform, createController, system, read } = createTestSystem(100);
  const controller = createController();
  controller.setRecords({ x: createPlannedRecord('x.1') });
  platform.loseAnswers(1, true);
  await controller.claim('x');
  assert.equal(controller.mayLoad(), []);
  system.advance(1_000);
  await controller.claim('x');
  assert.equal(controller.mayLoad(), ['x.1']);
  const successor = createController();
  successor.setRecords({ x: createPlannedRecord('x.1') });
  await successor.claim('x');
  assert.equal(successor.mayLoad(), ['x.1']);
  assert.equal(Object.keys(read()), ['x.1']);
});

test('counts a slot that is newer than the known record of its fabric domain', async () => {
  const { createController } = createTestSystem(100);
  const [first, second] = [createController(), createController()];
  first.setRecords({ x: createRecord(5, ['x.5', 'drafting', 'planned', 5]) });
  await first.claim('x');
  second.setRecords({ x: createRecord(4), y: createPlannedRecord('y.1') });
  await second.claim('y');
  assert.equal(second.mayLoad(), []);
});

test('claims a new slot for a group that is planned again', async () => {
  const { createController, read } = createTestSystem(100);
  const controller = createController();
  controller.setRecords({ x: createPlannedRecord('x.1') });
  await controller.claim('x');
  controller.setRecords({ x: createRecord(4, ['x.1', 'drafting', 'planned', 4]) });
  assert.equal(controller.mayLoad(), []);
  await controller.claim('x');
  assert.equal(controller.mayLoad(), ['x.1']);
  assert.is(read()['x.1']!.generation, 4);
});

test('lets the groups of the model with the largest shortage load first', async () => {
  const { createController } = createTestSystem(100);
  const controller = createController();
  const serving = createRecord(2, ['x.1', 'drafting', 'serving', 1]);
  const known = {
    x: serving,
    y: createPlannedRecord('y.1', 'drafting'),
    z: createRecord(1, ['z.1', 'search', 'planned', 1], ['z.2', 'search', 'planned', 1]),
  };
  controller.setRecords(known);
  await controller.claim('y');
  assert.equal(controller.mayLoad(), []);
  await controller.claim('z');
  assert.equal(controller.mayLoad(), ['z.1']);
});

test('lets a group load alone if its size is unknown or it needs more than the rate', async () => {
  const { createController } = createTestSystem(60);
  const controller = createController();
  controller.setRecords({
    x: createPlannedRecord('x.1', 'unsized'),
    y: createPlannedRecord('y.1', 'search'),
  });
  await controller.claim('x');
  await controller.claim('y');
  assert.equal(controller.mayLoad(), ['x.1']);
});

test('lets later groups load when the first in the queue does not start', async () => {
  const { createController, system } = createTestSystem(100);
  const controller = createController();
  controller.setRecords({ x: createPlannedRecord('x.1'), y: createPlannedRecord('y.1') });
  await controller.claim('y');
  assert.equal(controller.mayLoad(), []);
  system.advance(10_000);
  await controller.claim('y');
  assert.equal(controller.mayLoad(), ['y.1']);
});

test('lets no group load while the platform is down', async () => {
  const { platform, createController, system } = createTestSystem(100);
  const controller = createController();
  controller.setRecords({ x: createPlannedRecord('x.1') });
  platform.setOutage(true);
  await controller.claim('x');
  assert.equal(controller.mayLoad(), []);
  platform.setOutage(false);
  system.advance(1_000);
  await controller.claim('x');
  assert.equal(controller.mayLoad(), ['x.1']);
});

test.run();
