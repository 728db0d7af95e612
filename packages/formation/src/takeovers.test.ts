import type * as fleet from '@comfreydrum/fleet';
import * as fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createFakeFabric } from './testing/createFakeFabric';
import { simulateController, type SimulatedRules } from './testing/simulateController';

const test = uvu.suite('controllers that take over');

const engine: fleet.EngineProfile = {
  slotsPerGroup: 18,
  models: [
    {
      name: 'draft',
      groupSize: 3,
      paceFactor: 1,
      demandShare: 1,
      loadMs: 1_200,
      stagedJoinMs: 1_100,
    },
  ],
  stepMs: 6,
  stepMsPerRequest: 0.06,
  stepsPerEvent: 7,
  promptTokensPerSecond: 50_000,
  concurrentLoads: 6,
  loadStartsPerSecond: 4.5,
};

const startFleet = (suspended: Partial<SimulatedRules>, durationMs: number) => {
  const fabric = createFakeFabric({ engine });
  ['a', 'b'].forEach((zone) =>
    Array.from({ length: 8 }, (_, index) => fabric.add(`${zone}1-${index}`, `${zone}1`, zone)),
  );
  const controller = simulateController(fabric, engine, undefined, suspended);
  controller.advance(durationMs);
  return { fabric, controller };
};

const kinds = [
  'kill',
  'cut',
  'cutHead',
  'reconnect',
  'loseOrder',
  'lateJoin',
  'lateOpen',
  'takeOver',
  'takeOver',
  'hold',
  'add',
  'leave',
] as const;

const incident = fastCheck.record({
  kind: fastCheck.constantFrom(...kinds),
  pick: fastCheck.nat(1_000),
  heldMs: fastCheck.integer({ min: 0, max: 4_000 }),
  afterMs: fastCheck.integer({ min: 50, max: 2_500 }),
});

/** Plays random sequences of faults, and returns what fast-check found. */
const play = (numRuns: number, suspended: Partial<SimulatedRules> = {}) =>
  fastCheck.check(
    fastCheck.property(
      fastCheck.integer({ min: 1_000, max: 8_000 }),
      fastCheck.array(incident, { minLength: 3, maxLength: 14, size: 'max' }),
      (durationMs, incidents) => {
        const { fabric, controller } = startFleet(suspended, durationMs);
        controller.setTraffic(true);
        const cutIds = new Set<string>();
        const cut = (id: string) => {
          fabric.disconnect(id);
          cutIds.add(id);
        };
        incidents.forEach(({ kind, pick, heldMs, afterMs }, index) => {
          const ids = fabric.aliveIds();
          const id = ids[pick % ids.length]!;
          const heads = ids.filter((one) => fabric.membershipOf(one)?.rank === 0);
          if (kind === 'kill') fabric.kill(id);
          if (kind === 'cut') cut(id);
          if (kind === 'cutHead' && heads.length > 0) cut(heads[pick % heads.length]!);
          if (kind === 'reconnect') cutIds.forEach(fabric.reconnect);
          if (kind === 'loseOrder') fabric.loseNextOrder();
          if (kind === 'lateJoin') fabric.delayNextJoin(200 + pick * 5);
          if (kind === 'lateOpen') fabric.delayNextOpen(200 + pick * 5);
          if (kind === 'takeOver') controller.takeOver({ ageMs: pick * 3, heldMs });
          if (kind === 'hold') controller.holdList(heldMs);
          if (kind === 'add') fabric.add(`added-${index}`, 'a1', 'a');
          if (kind === 'leave') fabric.beginLeaving(id);
          controller.advance(afterMs);
        });
        controller.advance(6_000);
        assert.equal(fabric.violations, []);
      },
    ),
    { numRuns, seed: 68 },
  );

/** Has controllers take over, soon after groups were formed, with lists of several ages; returns how often that broke up a group. */
const countBrokenUp = (suspended: Partial<SimulatedRules>): number =>
  [500, 1_000, 1_500, 1_750, 2_000, 2_250, 2_500, 3_000].reduce((sum, ageMs) => {
    const { fabric, controller } = startFleet(suspended, 4_000);
    controller.takeOver({ ageMs, heldMs: 1_500 });
    controller.advance(3_000);
    return sum + fabric.violations.filter((violation) => violation === 'two-groups').length;
  }, 0);

test('take no members from groups that were formed since their list, by either of two rules', () => {
  assert.ok(countBrokenUp({ waitsForList: false, confirmsMembers: false }) > 0);
  assert.is(countBrokenUp({ waitsForList: false }), 0);
  assert.is(countBrokenUp({ confirmsMembers: false }), 0);
});

/** Loads that may begin within the window after which the ceiling of the weight store is judged. */
const maxLoadsInWindow = 4.5 * 5 * 1.1 + 3;
const loadWindowMs = 5_000;

test('begin no more loads than the weight store allows when they follow each other quickly', () => {
  const coldEngine = {
    ...engine,
    models: engine.models.map((model) => ({ ...model, loadMs: 12_000 })),
  };
  [200, 500, 1_000, 2_000, 3_000].forEach((intervalMs) =>
    [0, 500, 1_500].forEach((ageMs) => {
      const fabric = createFakeFabric({ engine: coldEngine });
      ['a', 'b', 'c'].forEach((zone) =>
        Array.from({ length: 20 }, (_, index) => fabric.add(`${zone}1-${index}`, `${zone}1`, zone)),
      );
      const controller = simulateController(fabric, coldEngine);
      controller.setTraffic(true);
      for (let passedMs = 0; passedMs < 12_000; passedMs += intervalMs) {
        controller.takeOver({ ageMs, heldMs: 100 });
        controller.advance(intervalMs);
      }
      const begun = fabric.loadsBegunAtMs;
      const counts = begun.map(
        (fromMs) => begun.filter((atMs) => atMs >= fromMs && atMs < fromMs + loadWindowMs).length,
      );
      const most = Math.max(...counts);
      assert.ok(most <= maxLoadsInWindow, `${most} loads, ${intervalMs} ms, ${ageMs} ms`);
    }),
  );
});

test('violate no invariant with lists from before, lost and late orders, and heads out of reach', () => {
  const result = play(60);
  assert.not(result.failed, JSON.stringify(result.counterexample));
});

test.run();
