import * as clock from '@comfreydrum/clock';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { fabricDomainSchema } from './FabricDomainRecord';
import { createTestFleet, waitFor, type TestFleet } from './testing/createTestFleet';

const test = uvu.suite<{ fleet: TestFleet }>('groups');
const system = clock.createSystemClock();
const maxStopMs = 2_000;
const maxLeavingStopMs = 3_000;

const servingAt = (fleet: TestFleet, daemon: number) =>
  fleet.daemons[daemon]!.groups.directory.serving('navarra', 'drafting');

const waitServing = (fleet: TestFleet, count = 1) =>
  waitFor('every daemon serves', () =>
    fleet.daemons.every((_, daemon) => servingAt(fleet, daemon).length === count),
  );

const start = async (
  context: { fleet: TestFleet },
  options: Partial<Parameters<typeof createTestFleet>[0]> = {},
) => {
  context.fleet = await createTestFleet({
    engineCount: 3,
    daemonCount: 3,
    groupCount: 1,
    instancesPerGroup: 3,
    ...options,
  });
  await waitServing(context.fleet, options.groupCount ?? 1);
  return context.fleet;
};

const engineOf = (fleet: TestFleet, instanceId: string) =>
  fleet.engines.find((engine) => engine.instanceId === instanceId)!;

const waitStopped = async (fleet: TestFleet, sinceMs: number) => {
  await waitFor('every daemon stops', () =>
    fleet.daemons.every((_, daemon) => servingAt(fleet, daemon).length === 0),
  );
  const tookMs = system.monotonicMs() - sinceMs;
  assert.ok(tookMs <= maxStopMs, `stopped after ${tookMs} ms`);
};

test.after.each(async ({ fleet }) => {
  await fleet.stop();
});

test('forms a group and serves it on every daemon', async (context) => {
  const fleet = await start(context);
  const [group] = servingAt(fleet, 0);
  assert.is(group!.members.length, 3);
  assert.ok(fleet.engines.every((engine) => engine.loaded().generation === group!.generation));
});

test('stops within 2 s after a member is killed and replaces it with a spare instance', async (context) => {
  const fleet = await start(context, { engineCount: 4 });
  const [group] = servingAt(fleet, 0);
  const victim = group!.members[1]!.instanceId;
  await engineOf(fleet, victim).kill();
  await waitStopped(fleet, system.monotonicMs());
  await waitServing(fleet);
  const [reformed] = servingAt(fleet, 0);
  assert.ok(reformed!.generation > group!.generation);
  assert.not.ok(reformed!.members.some(({ instanceId }) => instanceId === victim));
});

test('stops within 2 s after a member is paused while the platform is down', async (context) => {
  const fleet = await start(context);
  fleet.platform.setOutage(true);
  const [group] = servingAt(fleet, 0);
  engineOf(fleet, group!.members[2]!.instanceId).pause(true);
  await waitStopped(fleet, system.monotonicMs());
  engineOf(fleet, group!.members[2]!.instanceId).pause(false);
  await waitServing(fleet);
});

test('stops and reloads a group after a member restarts', async (context) => {
  const fleet = await start(context);
  const [group] = servingAt(fleet, 0);
  const engine = engineOf(fleet, group!.members[0]!.instanceId);
  await engine.kill();
  await engine.restart();
  await waitStopped(fleet, system.monotonicMs());
  await waitServing(fleet);
  assert.ok(servingAt(fleet, 0)[0]!.generation > group!.generation);
});

test('stops sending to a group with a leaving member while the platform is down', async (context) => {
  const fleet = await start(context);
  fleet.platform.setOutage(true);
  engineOf(fleet, 'target-1').setLeaving(true);
  await waitStopped(fleet, system.monotonicMs());
});

test('stops sending to a group whose member is leaving only by the target list', async (context) => {
  const fleet = await start(context);
  const listed = await fleet.platform.instances();
  if (!listed.ok) throw new Error('the fake platform does not respond');
  fleet.platform.setListed(
    listed.value.map((entry) =>
      entry.instanceId === 'target-1' ? { ...entry, state: 'leaving' } : entry,
    ),
  );
  const sinceMs = system.monotonicMs();
  await waitFor('every daemon stops', () =>
    fleet.daemons.every((_, daemon) => servingAt(fleet, daemon).length === 0),
  );
  const tookMs = system.monotonicMs() - sinceMs;
  assert.ok(tookMs <= maxLeavingStopMs, `stopped after ${tookMs} ms`);
});

test('propagates a loss reported by one daemon to the others', async (context) => {
  const fleet = await start(context);
  const [group] = servingAt(fleet, 0);
  const reasons: string[] = [];
  fleet.daemons[1]!.groups.directory.onBroken((_, __, reason) => reasons.push(reason));
  fleet.daemons[0]!.groups.directory.reportLoss(group!.groupId, group!.generation, 'reset');
  assert.not.ok(fleet.daemons[0]!.groups.directory.maySend(group!.groupId, group!.generation));
  await waitFor('the other daemon reports the group broken', () => reasons.length > 0);
  assert.equal(reasons, ['reported']);
});

test('keeps each instance in one group while controllers race and write responses are lost', async (context) => {
  const fleet = await start(context, { engineCount: 6, groupCount: 2 });
  fleet.daemons.forEach(({ setPeers, instanceId }) => setPeers([instanceId]));
  fleet.platform.loseAnswers(2, true);
  const releaseWrites = fleet.platform.holdWrites();
  await fleet.engines[0]!.kill();
  await fleet.engines[0]!.restart();
  await waitFor('three controllers write', () => fleet.platform.heldCount() === 3);
  releaseWrites();
  await waitFor('a write conflicts', () => fleet.platform.conflictCount() > 0);
  await waitServing(fleet, 2);
  const record = fabricDomainSchema.parse(fleet.platform.read('fabric-1'));
  const members = fleet.daemons.map((_, daemon) =>
    servingAt(fleet, daemon).flatMap((group) => group.members.map(({ instanceId }) => instanceId)),
  );
  members.forEach((ids) => assert.is(new Set(ids).size, 6));
  fleet.engines.forEach((engine) =>
    assert.is(engine.loaded().groupId, record.assignments[engine.instanceId]!.groupId),
  );
});

test('recovers when a target that ignores fencing applies a delayed order', async (context) => {
  const fleet = await start(context, { checksFencing: false });
  const [group] = servingAt(fleet, 0);
  const engine = engineOf(fleet, group!.members[1]!.instanceId);
  const late = { order: 'load', groupId: 'fabric-1.0.0', generation: 1, members: [] };
  await fetch(`${engine.url}/orders`, { method: 'POST', body: JSON.stringify(late) });
  await waitStopped(fleet, system.monotonicMs());
  await waitServing(fleet);
  const [again] = servingAt(fleet, 0);
  assert.ok(again!.generation > group!.generation);
  assert.is(engine.loaded().generation, again!.generation);
});

test('lets the secondary watcher take over and detect a loss after the primary stops', async (context) => {
  const fleet = await start(context);
  const domainReports = () => fleet.published().filter(({ key }) => key === 'fabric-1');
  const firstId = domainReports().at(-1)!.origin;
  const countByOthers = () => domainReports().filter(({ origin }) => origin !== firstId).length;
  const first = fleet.daemons.find(({ instanceId }) => instanceId === firstId)!;
  await first.stop();
  const countBefore = countByOthers();
  const others = fleet.daemons.filter((daemon) => daemon !== first);
  const serves = ({ groups }: (typeof others)[number]) =>
    groups.directory.serving('navarra', 'drafting').length === 1;
  await waitFor('the secondary watcher publishes', () => countByOthers() >= countBefore + 3);
  const publishedByOthers = fleet.published().filter(({ origin }) => origin !== firstId);
  const clockReportIndex = publishedByOthers.findIndex(({ key }) => key === 'clock of the sender');
  assert.ok(
    clockReportIndex >= 0 &&
      clockReportIndex < publishedByOthers.findIndex(({ key }) => key === 'fabric-1'),
  );
  await waitFor('the others serve', () => others.every(serves));
  await fleet.engines[0]!.kill();
  const sinceMs = system.monotonicMs();
  await waitFor('the others stop', () => !others.some(serves));
  const tookMs = system.monotonicMs() - sinceMs;
  assert.ok(tookMs <= maxStopMs, `stopped after ${tookMs} ms`);
});

test('takes over from a controller that stopped', async (context) => {
  const fleet = await start(context, { engineCount: 4, daemonCount: 2 });
  const [first, second] = fleet.daemons;
  await first!.stop();
  second!.setPeers([second!.instanceId]);
  await fleet.engines[0]!.kill();
  await waitFor('the survivor serves again', () => {
    const [group] = servingAt(fleet, 1);
    return (
      group !== undefined && !group.members.some(({ instanceId }) => instanceId === 'target-0')
    );
  });
});

test('changes the adapters of a model one group at a time', async (context) => {
  const fleet = await start(context, { engineCount: 4, groupCount: 2, instancesPerGroup: 2 });
  const adapters = ['fees', 'rotations'];
  let fewestServing = 2;
  const readGroups = () =>
    Object.values(fabricDomainSchema.parse(fleet.platform.read('fabric-1')).groups);
  const isChanged = () => {
    const serving = readGroups().filter(({ phase }) => phase === 'serving');
    fewestServing = Math.min(fewestServing, serving.length);
    return serving.length === 2 && serving.every((group) => group.adapters.length === 2);
  };
  fleet.setModel({ adapters });
  await waitFor('both groups have the adapters', isChanged, 30_000);
  assert.is(fewestServing, 1);
  await waitServing(fleet, 2);
  servingAt(fleet, 0).forEach((group) => assert.equal(group.adapters, adapters));
  fleet.engines.forEach((engine) => {
    const load = engine.orders().findLast(({ order }) => order === 'load');
    assert.equal(load?.adapters, adapters);
  });
});

test.run();
