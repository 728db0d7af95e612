import type * as fleet from '@comfreydrum/fleet';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createFakeFabric, type FakeFabric } from './testing/createFakeFabric';
import { simulateController } from './testing/simulateController';

const test = uvu.suite('fabric domains whose size is no multiple of the group size');

const [large, small] = [
  {
    name: 'large',
    groupSize: 6,
    paceFactor: 1,
    demandShare: 0.67,
    loadMs: 16_000,
    stagedJoinMs: 1_600,
  },
  {
    name: 'small',
    groupSize: 3,
    paceFactor: 0.6,
    demandShare: 0.33,
    loadMs: 12_000,
    stagedJoinMs: 1_100,
  },
] as const;
/** Loads before traffic take a tenth of the time. */
const loadFraction = 0.1;
const engine: fleet.EngineProfile = {
  slotsPerGroup: 18,
  models: [large, small].map((model) => ({ ...model, loadMs: model.loadMs * loadFraction })),
  stepMs: 6.45,
  stepMsPerRequest: 0.14,
  stepsPerEvent: 6,
  promptTokensPerSecond: 56_100,
  concurrentLoads: 8,
  loadStartsPerSecond: 5.5,
};

const zones = ['a', 'b', 'c'] as const;
const targetsPerDomain = 11;
const registrationIntervalMs = 350;
const leadMs = 11_000;
const dayMs = 33_000;
const tickMs = 1_000;
/** Requests of callers a second, and how long one occupies a slot of a group of the large model. */
const requestsPerSecond = 105;
const requestMs = 1_250;

/** Lets targets register one after the other, and advances to the first request. */
const startFleet = () => {
  const fabric = createFakeFabric({ engine });
  const controller = simulateController(fabric, engine);
  for (let index = 0; index < targetsPerDomain; index += 1) {
    zones.forEach((zone) =>
      [1, 2].forEach((domain) => fabric.add(`${zone}${domain}-${index}`, `${zone}${domain}`, zone)),
    );
    controller.advance(registrationIntervalMs);
  }
  controller.advance(leadMs - targetsPerDomain * registrationIntervalMs);
  controller.setTraffic(true);
  return { fabric, controller };
};

/** Returns the fraction of the requests for a model that the groups that serve now have places for. */
const servedFraction = (fabric: FakeFabric, model: fleet.ServedModel): number => {
  const perGroup = (engine.slotsPerGroup / (requestMs * model.paceFactor)) * 1_000;
  const demand = requestsPerSecond * model.demandShare;
  return Math.min(1, (fabric.servingCount(model.name) * perGroup) / demand);
};

test('have groups of both models, and spares, soon after the first callers come', () => {
  const { fabric, controller } = startFleet();
  controller.advance(1_000);
  assert.is(fabric.servingCount('large'), 6);
  controller.advance(3_000);
  assert.is(fabric.servingCount('large'), 6);
  assert.is(fabric.servingCount('small'), 6);
  const spareCount = fabric.listed().filter(({ membership }) => membership === undefined).length;
  assert.is(spareCount, 12);
  assert.equal(fabric.violations, []);
});

test('serve nine in ten callers of each model while a member is lost every three seconds', () => {
  const { fabric, controller } = startFleet();
  const sums = new Map([large, small].map((model) => [model, 0]));
  for (let atMs = 0; atMs < dayMs; atMs += tickMs) {
    const second = atMs / tickMs;
    if (second % 3 === 2) {
      const zone = zones[second % zones.length]!;
      const joined = fabric
        .listed()
        .filter(
          ({ id, failureDomain, membership }) =>
            failureDomain === zone && membership !== undefined && fabric.isReachable(id),
        );
      fabric.kill(joined[(second * 7) % joined.length]!.id);
      fabric.add(`new-${second}`, `${zone}${1 + (second % 2)}`, zone);
    }
    controller.advance(tickMs);
    sums.forEach((sum, model) => sums.set(model, sum + servedFraction(fabric, model)));
  }
  assert.equal(fabric.violations, []);
  const fractions = [...sums].map(([{ name }, sum]) => ({
    name,
    fraction: sum / (dayMs / tickMs),
  }));
  const summary = fractions.map(({ name, fraction }) => `${name} ${fraction.toFixed(2)}`).join();
  fractions.forEach(({ fraction }) => assert.ok(fraction >= 0.9, summary));
});

test('form the groups of the rest again after members were lost', () => {
  const { fabric, controller } = startFleet();
  controller.advance(4_000);
  const victim = fabric
    .listed()
    .find(({ membership }) => membership?.groupName.startsWith('small') && membership.rank === 1)!;
  fabric.kill(victim.id);
  controller.advance(2_000);
  assert.is(fabric.servingCount('small'), 5);
  fabric.add('replacement', victim.fabricDomain!, victim.failureDomain);
  controller.advance(6_000);
  assert.is(fabric.servingCount('small'), 6);
  assert.is(fabric.servingCount('large'), 6);
  assert.equal(fabric.violations, []);
});

test('keep the groups of the rest when more targets are added', () => {
  const { fabric, controller } = startFleet();
  controller.advance(4_000);
  ['a1', 'a1', 'b2'].forEach((domain, index) =>
    fabric.add(`added-${index}`, domain, domain.slice(0, 1)),
  );
  controller.advance(6_000);
  assert.is(fabric.servingCount('small'), 6);
  assert.is(fabric.servingCount('large'), 6);
  assert.equal(fabric.violations, []);
});

test.run();
