import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { advanceDomain, type DomainView } from './advanceDomain';
import { emptyFabricDomainRecord, membersOf, type FabricDomainRecord } from './FabricDomainRecord';
import type { Observation } from './Presence';

const test = uvu.suite('advance domain');
const nowMs = 100_000;

const plan = {
  team: 'team',
  modelName: 'main',
  modelVersion: '1',
  adapters: [],
  targetKind: 'engine',
  maxConcurrent: 8,
  loadTimeMs: 1_000,
};

const instances = new Map(
  ['a', 'b', 'c'].map((instanceId) => [
    instanceId,
    { instanceId, url: `http://${instanceId}`, failureDomain: 'zone', acceleratorCount: 4 },
  ]),
);

const view = (record: FabricDomainRecord, changes: Partial<DomainView> = {}): DomainView => ({
  fabricDomain: 'fabric',
  nowMs,
  record,
  observe: () => undefined,
  actions: [],
  instances,
  models: new Map([['team/main', plan]]),
  phaseSinceMs: () => nowMs,
  hasFreshEvidence: () => false,
  isIdle: () => false,
  mayOrder: () => true,
  mayLoad: () => true,
  drainTimeoutMs: 60_000,
  ...changes,
});

const form = (instanceIds: readonly string[]) =>
  ({ kind: 'form', modelKey: 'team/main', fabricDomain: 'fabric', instanceIds }) as const;

const answering = (record: FabricDomainRecord, bootId = 'boot') => {
  const answers = new Map<string, Observation>(
    Object.entries(record.assignments).map(([instanceId, { groupId }]) => {
      const { generation } = record.groups[groupId]!;
      const response = { instanceId, bootId, groupId, generation, phase: 'ready', leaving: false };
      return [
        instanceId,
        {
          sinceMs: 0,
          response: response as Observation['response'],
          respondedProbeAtMs: nowMs,
          gone: false,
        },
      ];
    }),
  );
  return (instanceId: string) => answers.get(instanceId);
};

/** Advances a new group until it serves. */
const serve = (): FabricDomainRecord => {
  const planned = advanceDomain(view(emptyFabricDomainRecord, { actions: [form(['a', 'b'])] }))!;
  const loading = advanceDomain(view(planned))!;
  const ready = advanceDomain(view(loading, { observe: answering(loading) }))!;
  return advanceDomain(view(ready, { observe: answering(ready) }))!;
};

const onlyGroup = (record: FabricDomainRecord) => Object.values(record.groups)[0]!;

test('increments the record generation at every step and keeps the generation that members loaded', () => {
  const record = serve();
  assert.is(record.generation, 4);
  assert.is(onlyGroup(record).phase, 'serving');
  assert.is(onlyGroup(record).generation, 2);
  assert.ok(Object.values(record.assignments).every(({ bootId }) => bootId === 'boot'));
});

test('does not assign an instance to a second group', () => {
  const record = serve();
  const observe = answering(record);
  assert.is(advanceDomain(view(record, { observe, actions: [form(['b', 'c'])] })), undefined);
});

test('does not start loading outside the order window', () => {
  const planned = advanceDomain(view(emptyFabricDomainRecord, { actions: [form(['a', 'b'])] }))!;
  assert.is(advanceDomain(view(planned, { mayOrder: () => false })), undefined);
});

test('keeps a group planned while the weight store has no free load slot', () => {
  const planned = advanceDomain(view(emptyFabricDomainRecord, { actions: [form(['a', 'b'])] }))!;
  assert.is(advanceDomain(view(planned, { mayLoad: () => false })), undefined);
});

test('marks a group broken after a member restart and does not restore it', () => {
  const record = serve();
  const observe = answering(record, 'another boot');
  const broken = advanceDomain(view(record, { observe }))!;
  assert.is(onlyGroup(broken).phase, 'broken');
  assert.is(advanceDomain(view(broken, { observe })), undefined);
});

test('restores a broken group when all members respond with the boot ids that loaded it', () => {
  const record = serve();
  const [groupId] = Object.keys(record.groups);
  const broken = {
    ...record,
    groups: { [groupId!]: { ...onlyGroup(record), phase: 'broken' as const } },
  };
  const back = advanceDomain(view(broken, { observe: answering(record) }))!;
  assert.is(onlyGroup(back).phase, 'serving');
  assert.is(onlyGroup(back).generation, onlyGroup(record).generation);
});

test('releases a drained group only after every daemon had time to learn of the drain', () => {
  const record = serve();
  const observe = answering(record);
  const [groupId] = Object.keys(record.groups);
  const drain = { kind: 'drain', groupId: groupId!, fabricDomain: 'fabric' } as const;
  const draining = advanceDomain(view(record, { observe, actions: [drain] }))!;
  const idle = { observe, isIdle: () => true };
  assert.is(advanceDomain(view(draining, idle)), undefined);
  const released = advanceDomain(view(draining, { ...idle, phaseSinceMs: () => nowMs - 3_000 }))!;
  assert.equal(released.groups, {});
  assert.equal(membersOf(released, groupId!), []);
});

test.run();
