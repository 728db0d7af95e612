import type * as fleet from '@comfreydrum/fleet';
import * as fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { maxSoundSilenceMs } from './maxSoundSilenceMs';
import { createFakeFabric, type FakeFabric } from './testing/createFakeFabric';
import { simulateController, type SimulatedController } from './testing/simulateController';

const test = uvu.suite('formation of groups');

const large = {
  name: 'large',
  groupSize: 4,
  paceFactor: 1,
  demandShare: 0.57,
  loadMs: 16_000,
  stagedJoinMs: 1_600,
};
const small = {
  name: 'small',
  groupSize: 3,
  paceFactor: 0.6,
  demandShare: 0.43,
  loadMs: 12_000,
  stagedJoinMs: 1_100,
};

const createEngine = (loadFraction = 1): fleet.EngineProfile => ({
  slotsPerGroup: 18,
  models: [large, small].map((model) => ({ ...model, loadMs: model.loadMs * loadFraction })),
  stepMs: 6,
  stepMsPerRequest: 0.06,
  stepsPerEvent: 7,
  promptTokensPerSecond: 50_000,
  concurrentLoads: 6,
  loadStartsPerSecond: 4.5,
});

const targetsPerDomain = 9;
const zones = ['a', 'b', 'c'] as const;

/** Shorter than a head takes to open. */
const quickDetectionMs = 100;

const addDomains = (fabric: FakeFabric) =>
  zones.forEach((zone) =>
    [1, 2].forEach((domain) =>
      Array.from({ length: targetsPerDomain }, (_, index) =>
        fabric.add(`${zone}${domain}-${index}`, `${zone}${domain}`, zone),
      ),
    ),
  );

/** Starts a fleet and lets it form groups before traffic, with loads ten times as fast. */
const startFleet = (detectionMs?: number) => {
  const engine = createEngine(0.1);
  const fabric = createFakeFabric({ engine });
  addDomains(fabric);
  const controller = simulateController(fabric, engine, detectionMs);
  controller.advance(14_000);
  controller.setTraffic(true);
  return { fabric, controller };
};

test('forms the expected number of groups of each model before traffic', () => {
  const { fabric } = startFleet();
  assert.is(fabric.servingCount('large'), 6);
  assert.is(fabric.servingCount('small'), 9);
  assert.equal(fabric.violations, []);
});

test('replaces a lost member by a spare within 3 seconds', () => {
  const { fabric, controller } = startFleet();
  const lost = fabric
    .listed()
    .find(({ membership }) => membership?.groupName.startsWith('large') && membership.rank === 1)!;
  fabric.kill(lost.id);
  controller.advance(800);
  assert.is(fabric.servingCount('large'), 5);
  controller.advance(2_200);
  assert.is(fabric.servingCount('large'), 6);
  assert.equal(fabric.violations, []);
});

test('forms a group from the surviving members of two groups without loading weights', () => {
  const { fabric, controller } = startFleet();
  const smallDomain = fabric
    .listed()
    .filter(({ membership }) => membership?.groupName.startsWith('small'))
    .filter(({ fabricDomain }, _, all) => fabricDomain === all[0]!.fabricDomain);
  const groups = [...new Set(smallDomain.map(({ membership }) => membership!.groupName))];
  groups.slice(0, 2).forEach((name) => {
    const member = smallDomain.find(
      ({ membership }) => membership!.groupName === name && membership!.rank === 2,
    )!;
    fabric.kill(member.id);
  });
  controller.advance(2_000);
  assert.is(fabric.servingCount('small'), 8);
  assert.equal(fabric.violations, []);
});

test('reuses the members of a group whose head died', () => {
  const { fabric, controller } = startFleet();
  const heads = fabric
    .listed()
    .filter(({ membership }) => membership?.groupName.startsWith('large') && membership.rank === 0);
  fabric.kill(heads[0]!.id);
  controller.advance(3_500);
  assert.is(fabric.servingCount('large'), 6);
  assert.equal(fabric.violations, []);
});

test('removes members from a group with an unreachable head before it reuses them', () => {
  const { fabric, controller } = startFleet();
  const head = fabric
    .listed()
    .find(({ membership }) => membership?.groupName.startsWith('large') && membership.rank === 0)!;
  const { groupName } = head.membership!;
  const memberIds = fabric
    .listed()
    .filter(({ id, membership }) => membership?.groupName === groupName && id !== head.id)
    .map(({ id }) => id);
  const waitUntil = (isReached: () => boolean): number => {
    while (!isReached() && fabric.nowMs() < 30_000) controller.advance(50);
    return fabric.nowMs();
  };
  fabric.disconnect(head.id);
  const cutAtMs = fabric.nowMs();
  const leftAtMs = waitUntil(() => memberIds.every((id) => fabric.membershipOf(id) === undefined));
  assert.is(fabric.membershipOf(head.id)?.state, 'open');
  const reusedAtMs = waitUntil(() => memberIds.some((id) => fabric.membershipOf(id) !== undefined));
  const servedAtMs = waitUntil(() => fabric.servingCount('large') === 6);
  assert.ok(leftAtMs - cutAtMs >= maxSoundSilenceMs && reusedAtMs > leftAtMs);
  assert.ok(servedAtMs - cutAtMs <= 4_600, `served after ${servedAtMs - cutAtMs} ms`);
  assert.equal(fabric.violations, []);
});

test('forms a group again after a controller closed one and was replaced', () => {
  const { fabric, controller } = startFleet();
  const head = fabric
    .listed()
    .find(({ membership }) => membership?.groupName.startsWith('small') && membership.rank === 0)!;
  fabric.close(head.id, head.membership!.groupName, 'shed-work');
  controller.takeOver();
  controller.advance(1_500);
  assert.is(fabric.servingCount('small'), 9);
  assert.equal(fabric.violations, []);
});

/** Breaks a group whose domain has three spares, and returns the group formed next when a member is ready. */
const formNext = (fabric: FakeFabric, controller: SimulatedController) => {
  const [victim] = fabric
    .listed()
    .filter(({ membership }) => membership?.groupName.startsWith('small') && membership.rank === 1);
  const before = new Set(fabric.listed().map(({ membership }) => membership?.groupName));
  const { fabricDomain, failureDomain } = victim!;
  ['spare-1', 'spare-2', 'spare-3'].forEach((id) => {
    fabric.add(id, fabricDomain!, failureDomain);
    fabric.stage(id, 'small');
  });
  controller.advance(2_500);
  fabric.kill(victim!.id);
  const findMembers = () =>
    fabric
      .listed()
      .filter(({ membership }) => membership !== undefined && !before.has(membership.groupName));
  while (!findMembers().some(({ membership }) => membership!.state === 'ready')) {
    controller.advance(50);
  }
  return {
    findMember: (rank: number) => findMembers().find((one) => one.membership!.rank === rank)!,
  };
};

test('reuses no member of a group whose head may still execute a delayed order to open', () => {
  for (const delayMs of [300, 1_000, 3_000]) {
    const { fabric, controller } = startFleet(quickDetectionMs);
    fabric.delayNextOpen(delayMs);
    const { findMember } = formNext(fabric, controller);
    controller.advance(100);
    fabric.kill(findMember(1).id);
    controller.advance(6_000);
    assert.equal(fabric.violations, [], `an order to open executed after ${delayMs} ms`);
  }
});

test('opens no group with a member that may still execute a later order to join', () => {
  for (const delayMs of [800, 2_000, 4_000]) {
    const { fabric, controller } = startFleet(quickDetectionMs);
    const smallMembers = fabric
      .listed()
      .filter(({ membership }) => membership?.groupName.startsWith('small'));
    const inDomain = smallMembers.filter(
      ({ fabricDomain }) => fabricDomain === smallMembers[0]!.fabricDomain,
    );
    inDomain
      .filter(({ membership }) => membership!.rank === 1)
      .forEach(({ id }) => fabric.kill(id));
    controller.advance(200);
    fabric.delayNextJoin(delayMs);
    controller.advance(6_000);
    assert.equal(fabric.violations, [], `an order to join executed after ${delayMs} ms`);
  }
});

test('violates no invariant when a member is lost while the head opens', () => {
  for (const afterMs of [50, 100, 150, 200, 250, 300]) {
    const { fabric, controller } = startFleet(quickDetectionMs);
    const { findMember } = formNext(fabric, controller);
    controller.advance(afterMs);
    fabric.kill(findMember(1).id);
    controller.advance(4_000);
    assert.equal(fabric.violations, [], `a member lost after ${afterMs} ms`);
  }
});

test('keeps more than half of the groups serving while two targets are lost every three seconds', () => {
  const { fabric, controller } = startFleet();
  const joinedIds = () =>
    fabric
      .listed()
      .filter(({ id, membership }) => membership?.state !== undefined && fabric.isReachable(id))
      .map(({ id }) => id);
  let groupSeconds = 0;
  for (let second = 0; second < 33; second += 1) {
    if (second % 3 === 2) {
      const ids = joinedIds();
      [0.2, 0.7].forEach((part) => fabric.kill(ids[Math.floor(ids.length * part)]!));
      const zone = zones[second % zones.length]!;
      [1, 2].forEach((domain) => fabric.add(`new-${second}-${domain}`, `${zone}${domain}`, zone));
    }
    controller.advance(1_000);
    groupSeconds += fabric.servingCount('large') + fabric.servingCount('small');
  }
  assert.equal(fabric.violations, []);
  const meanGroups = groupSeconds / 33;
  assert.ok(meanGroups >= 8, `${meanGroups.toFixed(1)} of 15 groups served on average`);
});

test('violates no invariant in random sequences of faults', () => {
  const incident = fastCheck.record({
    kind: fastCheck.constantFrom(
      'kill',
      'kill',
      'cut',
      'leave',
      'lateOpen',
      'lateJoin',
      'domain',
      'takeOver',
      'add',
    ),
    pick: fastCheck.nat(1_000),
    afterMs: fastCheck.integer({ min: 50, max: 2_000 }),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(incident, { maxLength: 14 }), (incidents) => {
      const { fabric, controller } = startFleet();
      incidents.forEach(({ kind, pick, afterMs }, index) => {
        const ids = fabric.aliveIds();
        const id = ids[pick % ids.length]!;
        if (kind === 'kill') fabric.kill(id);
        if (kind === 'cut') fabric.disconnect(id);
        if (kind === 'lateJoin') fabric.delayNextJoin(200 + pick * 5);
        if (kind === 'lateOpen') fabric.delayNextOpen(200 + pick * 5);
        if (kind === 'leave') fabric.beginLeaving(id);
        if (kind === 'takeOver') controller.takeOver();
        if (kind === 'add') fabric.add(`added-${index}`, 'a1', 'a');
        if (kind === 'domain') {
          const prefix = id.slice(0, 2);
          ids.filter((other) => other.startsWith(prefix)).forEach(fabric.kill);
        }
        controller.advance(afterMs);
      });
      controller.advance(4_000);
      assert.equal(fabric.violations, []);
    }),
    { numRuns: 40, seed: 7 },
  );
});

test.run();
