import type * as fleet from '@comfreydrum/fleet';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import {
  advanceUntil,
  countsOf,
  countStagedForOther,
  demandOf,
  domainNames,
  large,
  servingNames,
  small,
  standing,
  startFleet,
  usualBusyTargets,
} from './testing/mixFleet';

const test = uvu.suite('mix of models');

test('stays where demand is what the configuration says', () => {
  const { fabric, controller } = startFleet();
  assert.equal(countsOf(fabric), standing);
  const orderCount = controller.orderCount();
  controller.setDemand(demandOf(0.5));
  controller.advance(30_000);
  assert.equal(countsOf(fabric), standing);
  assert.is(controller.orderCount(), orderCount);
});

test('changes a domain within one load time and 3 seconds after two seconds of other demand', () => {
  const { fabric, controller } = startFleet();
  controller.setDemand(demandOf(0.33));
  controller.advance(2_000);
  const tookMs = advanceUntil(controller, 30_000, () => fabric.servingCount('small') === 24);
  assert.ok(tookMs <= small.loadMs + 3_000, `took ${tookMs} ms`);
  assert.is(fabric.servingCount('large'), 6);
  assert.equal(fabric.violations, []);
});

test('closes one group at a time, and only when the next weights are staged', () => {
  const { fabric, controller } = startFleet();
  controller.setDemand(demandOf(0.33));
  controller.advance(2_000 + small.loadMs - 100);
  assert.equal(countsOf(fabric), standing);
  for (let index = 0; index < 100; index += 1) {
    controller.advance(50);
    const idle = fabric.listed().filter(({ membership }) => membership === undefined);
    const isClosed = ({ membership, loadedModels }: fleet.Target) =>
      membership?.groupName.startsWith('large') === true &&
      loadedModels[0] === 'large' &&
      !servingNames(fabric).has(membership.groupName);
    const closedCount = fabric.listed().filter(isClosed).length;
    const spareCount = domainNames.length * 3;
    assert.ok(closedCount + idle.length - spareCount <= large.groupSize, `${closedCount} closed`);
  }
  assert.equal(countsOf(fabric), { large: 6, small: 24 });
});

test('moves further domains while demand asks for more, never the last of a model', () => {
  const { fabric, controller } = startFleet();
  controller.setDemand(demandOf(0.02));
  controller.advance(100_000);
  assert.equal(countsOf(fabric), { large: 2, small: 32 });
  assert.equal(fabric.violations, []);
});

test('answers demand of 20 to 80 from the start by a mix whose occupancies are within a factor of 1.5', () => {
  const { fabric, controller } = startFleet();
  controller.setDemand(demandOf(0.2));
  controller.advance(60_000);
  const { large: largeCount, small: smallCount } = countsOf(fabric);
  const ratio = 0.2 / (largeCount * 8) / (0.8 / (smallCount * 4));
  assert.ok(ratio < 1.5 && ratio > 1 / 1.5, `${largeCount} and ${smallCount}: ${ratio}`);
  assert.equal(fabric.violations, []);
});

test('gives the model of larger groups more domains when demand asks for it', () => {
  const { fabric, controller } = startFleet();
  controller.setDemand(demandOf(0.7));
  controller.advance(30_000);
  assert.equal(countsOf(fabric), { large: 10, small: 16 });
  assert.equal(fabric.violations, []);
});

test('answers a lasting shift of demand within one load time and 3 seconds', () => {
  const { fabric, controller } = startFleet();
  controller.setDemand(demandOf(0.5));
  controller.advance(10_000);
  controller.setDemand(demandOf(0.2));
  const tookMs = advanceUntil(controller, 40_000, () => fabric.servingCount('small') > 20);
  assert.ok(tookMs <= small.loadMs + 3_000, `took ${tookMs} ms`);
});

test('does not change in a swing of the whole demand by half', () => {
  const { fabric, controller } = startFleet();
  const orderCount = controller.orderCount();
  for (let second = 0; second < 40; second += 1) {
    const factor = 1 + 0.5 * Math.sin((2 * Math.PI * second) / 12);
    controller.setDemand(demandOf(0.47, usualBusyTargets * factor));
    controller.advance(1_000);
  }
  assert.is(controller.orderCount(), orderCount);
  assert.equal(countsOf(fabric), standing);
});

test('does not change in a burst of one model that lasts three seconds', () => {
  for (const offsetMs of [0, 250, 500, 750]) {
    const { fabric, controller } = startFleet();
    const orderCount = controller.orderCount();
    controller.setDemand(demandOf(0.5));
    controller.advance(8_000 + offsetMs);
    controller.setDemand(demandOf(0.17, 3 * usualBusyTargets));
    controller.advance(3_000);
    controller.setDemand(demandOf(0.5));
    controller.advance(30_000);
    assert.is(controller.orderCount(), orderCount, `a burst ${offsetMs} ms into a second`);
    assert.equal(countsOf(fabric), standing);
  }
});

test('closes nothing when demand turns back while weights are staged', () => {
  const { fabric, controller } = startFleet();
  controller.setDemand(demandOf(0.33));
  controller.advance(6_000);
  controller.setDemand(demandOf(0.5));
  controller.advance(40_000);
  assert.equal(countsOf(fabric), standing);
  assert.ok(countStagedForOther(fabric) > 0);
  assert.equal(fabric.violations, []);
});

test.run();
