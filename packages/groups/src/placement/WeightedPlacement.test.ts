import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import type { PlacementGroup, PlacementInstance, PlacementModel } from './PlacementPolicy';
import { createTestModel as model } from '../testing/createTestModel';
import { computeStandbyCount } from './computeStandbyCount';
import { WeightedPlacement } from './WeightedPlacement';

const test = uvu.suite('weighted placement');
const nowMs = 1_000_000;

const instance = (
  instanceId: string,
  changes: Partial<PlacementInstance> = {},
): PlacementInstance => ({
  instanceId,
  targetKind: 'engine',
  fabricDomain: 'fabric-1',
  failureDomain: 'a',
  acceleratorCount: 4,
  state: 'present',
  recentAbsences: 0,
  ...changes,
});

const absent = (instanceId: string, absentMs: number) =>
  instance(instanceId, { state: 'absent', absentSinceMs: nowMs - absentMs, recentAbsences: 1 });

const group = (changes: Partial<PlacementGroup> = {}): PlacementGroup => ({
  groupId: 'g1',
  modelKey: 'team/main',
  version: '1',
  fabricDomain: 'fabric-1',
  phase: 'serving',
  memberIds: ['a', 'b'],
  ...changes,
});

const decide = (
  models: readonly PlacementModel[],
  instances: readonly PlacementInstance[],
  groups: readonly PlacementGroup[],
) => new WeightedPlacement().decide({ nowMs, models, instances, groups });

test('waits for a member that has just become absent, then replaces it by a free instance', () => {
  const broken = group({ phase: 'broken' });
  const after = (absentMs: number) =>
    decide([model()], [instance('a'), absent('b', absentMs), instance('c')], [broken]);
  assert.equal(after(1_000), []);
  assert.equal(after(60_000), [
    { kind: 'repair', groupId: 'g1', fabricDomain: 'fabric-1', instanceIds: ['a', 'c'] },
  ]);
});

test('preempts a lower-value group for a repair, but never one of the same value', () => {
  const groups = [
    group({ phase: 'broken' }),
    group({ groupId: 'g2', modelKey: 'team/lesser', memberIds: ['c'] }),
  ];
  const instances = [instance('a'), absent('b', 60_000), instance('c')];
  const decideAt = (value: number) => {
    const lowValue = model({ modelKey: 'team/lesser', instancesPerGroup: 1, value });
    return decide([model(), lowValue], instances, groups).map(({ kind }) => kind);
  };
  assert.equal(decideAt(1), ['release', 'repair']);
  assert.not.ok(decideAt(10).includes('repair'));
});

test('prefers the fabric domain with the fewest free instances, and instances with few absences', () => {
  const instances = [
    instance('a'),
    instance('b'),
    instance('c'),
    instance('d', { fabricDomain: 'fabric-2', recentAbsences: 5 }),
    instance('e', { fabricDomain: 'fabric-2' }),
  ];
  const [formed] = decide([model()], instances, []);
  assert.equal(formed, {
    kind: 'form',
    modelKey: 'team/main',
    fabricDomain: 'fabric-2',
    instanceIds: ['e', 'd'],
  });
});

test('forms a group of the new version on free instances before it drains an outdated one', () => {
  const next = model({ version: '2' });
  const instances = ['a', 'b', 'c', 'd'].map((id) => instance(id));
  assert.equal(
    decide([next], instances, [group()]).map(({ kind }) => kind),
    ['form'],
  );
  const replaced = group({ groupId: 'g2', version: '2', memberIds: ['c', 'd'] });
  assert.equal(decide([next], instances, [group(), replaced]), [
    { kind: 'drain', groupId: 'g1', fabricDomain: 'fabric-1' },
  ]);
});

const outdatedGroups = [
  group({ memberIds: ['a', 'b'] }),
  group({ groupId: 'g2', memberIds: ['c', 'd'], fabricDomain: 'fabric-2' }),
];
const listKinds = (groups: readonly PlacementGroup[], instanceIds: readonly string[]) =>
  decide(
    [model({ version: '2', groupCount: 2 })],
    instanceIds.map((id) => instance(id)),
    groups,
  ).map((action) => [action.kind, 'groupId' in action ? action.groupId : '']);

test('drains one outdated group at a time where no instances are free', () => {
  const full = ['a', 'b', 'c', 'd'];
  const [first, second] = outdatedGroups;
  assert.equal(listKinds(outdatedGroups, full), [['drain', 'g1']]);
  assert.equal(listKinds([{ ...first!, phase: 'draining' }, second!], full), []);
  const formed = { ...first!, groupId: 'g3', version: '2' };
  assert.equal(listKinds([{ ...formed, phase: 'ready' }, second!], full), []);
  assert.equal(listKinds([formed, second!], full), [['drain', 'g2']]);
});

test('drains the same outdated group whatever the order of the groups', () => {
  assert.equal(listKinds([...outdatedGroups].reverse(), ['a', 'b', 'c', 'd']), [['drain', 'g1']]);
});

test('releases groups of another version that do not serve yet', () => {
  const loading = group({ groupId: 'g3', phase: 'loading', memberIds: ['e', 'f'] });
  const kinds = listKinds([...outdatedGroups, loading], ['a', 'b', 'c', 'd', 'e', 'f']);
  assert.equal(kinds, [
    ['release', 'g3'],
    ['form', ''],
  ]);
});

test('keeps standby groups only if downtime has weight, and more of them the more it has', () => {
  const sized = { groupCount: 100, instancesPerGroup: 16, loadTimeMs: 180_000 };
  const countAt = (downtimeWeight: number) =>
    computeStandbyCount(
      model({ ...sized, downtimeWeight, strandedWeight: 1 - downtimeWeight }),
      0.2,
    );
  assert.is(countAt(0), 0);
  assert.ok(countAt(0.5) >= 1 && countAt(0.5) < countAt(1));
});

test.run();
