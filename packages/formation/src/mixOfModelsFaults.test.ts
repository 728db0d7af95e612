import * as fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createFakeFabric } from './testing/createFakeFabric';
import {
  advanceUntil,
  countsOf,
  demandOf,
  engine,
  large,
  small,
  startFleet,
  worstOccupancy,
} from './testing/mixFleet';
import { simulateController } from './testing/simulateController';

const test = uvu.suite('mix of models');

test('lowers the worst occupancy while two members are lost every three seconds', () => {
  const play = (isDemandKnown: boolean): number => {
    const { fabric, controller } = startFleet();
    if (isDemandKnown) controller.setDemand(demandOf(0.2));
    let sum = 0;
    for (let second = 0; second < 60; second += 1) {
      if (second % 3 === 2) {
        const joined = fabric
          .listed()
          .filter(({ id, membership }) => membership !== undefined && fabric.isReachable(id));
        [0.2, 0.7].forEach((part) => {
          const victim = joined[Math.floor(joined.length * part)]!;
          fabric.kill(victim.id);
          fabric.add(`new-${second}-${part}`, victim.fabricDomain!, victim.failureDomain);
        });
      }
      controller.advance(1_000);
      if (second >= 25) sum += Math.min(5, worstOccupancy(fabric, 0.2));
    }
    assert.equal(fabric.violations, []);
    return sum / 35;
  };
  const [fixed, followed] = [play(false), play(true)];
  assert.ok(
    followed <= 0.8 * fixed,
    `${followed.toFixed(2)}, with a fixed mix ${fixed.toFixed(2)}`,
  );
});

test('converts domains of 73 targets from groups of 32 to groups of 8', () => {
  const models = [
    { ...large, groupSize: 32 },
    { ...small, groupSize: 8 },
  ];
  const quick = models.map((model) => ({ ...model, loadMs: model.loadMs / 10 }));
  const current = { ...engine, models: quick, concurrentLoads: 48, loadStartsPerSecond: 30 };
  const fabric = createFakeFabric({ engine: current });
  ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].forEach((name) =>
    Array.from({ length: 73 }, (_, index) =>
      fabric.add(`${name}-${index}`, name, name.slice(0, 1)),
    ),
  );
  const controller = simulateController(fabric, current);
  controller.advance(25_000);
  assert.equal(countsOf(fabric), { large: 6, small: 27 });
  current.models = models;
  controller.setTraffic(true);
  controller.setDemand(demandOf(0.25, 200));
  controller.advance(2_000);
  const tookMs = advanceUntil(controller, 30_000, () => fabric.servingCount('small') > 27);
  assert.ok(tookMs <= small.loadMs + 3_000, `took ${tookMs} ms`);
  controller.advance(30_000);
  assert.equal(countsOf(fabric), { large: 4, small: 36 });
  assert.equal(fabric.violations, []);
});

test('violates no invariant in random sequences of faults during changes', () => {
  const incident = fastCheck.record({
    kind: fastCheck.constantFrom(
      'kill',
      'cut',
      'leave',
      'lateOpen',
      'lateJoin',
      'takeOver',
      'add',
      'demand',
    ),
    pick: fastCheck.nat(1_000),
    afterMs: fastCheck.integer({ min: 50, max: 4_000 }),
  });
  const models = [
    { ...large, groupSize: 4, loadMs: 3_000 },
    { ...small, groupSize: 3, loadMs: 2_000 },
  ];
  type Incident = typeof incident extends fastCheck.Arbitrary<infer Value> ? Value : never;
  const play = (incidents: readonly Incident[]) => {
    const current = { ...engine, models };
    const fabric = createFakeFabric({ engine: current });
    ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].forEach((name) =>
      Array.from({ length: 9 }, (_, index) =>
        fabric.add(`${name}-${index}`, name, name.slice(0, 1)),
      ),
    );
    const controller = simulateController(fabric, current);
    controller.advance(14_000);
    controller.setTraffic(true);
    controller.setDemand(demandOf(0.2, 30));
    controller.advance(3_000);
    incidents.forEach(({ kind, pick, afterMs }, index) => {
      const ids = fabric.aliveIds();
      const id = ids[pick % ids.length]!;
      if (kind === 'kill') fabric.kill(id);
      if (kind === 'cut') fabric.disconnect(id);
      if (kind === 'leave') fabric.beginLeaving(id);
      if (kind === 'lateOpen') fabric.delayNextOpen(200 + pick * 5);
      if (kind === 'lateJoin') fabric.delayNextJoin(200 + pick * 5);
      if (kind === 'takeOver') controller.takeOver();
      if (kind === 'add') fabric.add(`added-${index}`, 'a1', 'a');
      if (kind === 'demand') controller.setDemand(demandOf(pick / 1_000, 30));
      controller.advance(afterMs);
    });
    controller.advance(6_000);
    assert.equal(fabric.violations, []);
  };
  fastCheck.assert(fastCheck.property(fastCheck.array(incident, { maxLength: 12 }), play), {
    numRuns: 40,
    seed: 37,
  });
});

test.run();
