import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import type { FakeFabric } from './testing/createFakeFabric';
import {
  advanceUntil,
  countsOf,
  countStagedForOther,
  demandOf,
  standing,
  startFleet,
} from './testing/mixFleet';

const test = uvu.suite('mix of models');

test('goes on after the controller is replaced at any point of a change', () => {
  for (const atMs of [4_000, 13_900, 14_400, 14_800, 15_200, 15_600, 16_500, 17_500]) {
    const { fabric, controller } = startFleet();
    controller.setDemand(demandOf(0.33));
    controller.advance(atMs);
    controller.takeOver();
    controller.advance(25_000);
    assert.equal(countsOf(fabric), { large: 6, small: 24 }, `replaced after ${atMs} ms`);
    assert.equal(fabric.violations, []);
  }
});

/** Returns the domain in which hosts hold another model than the one that their targets work for. */
const findChanging = (fabric: FakeFabric): string =>
  fabric
    .listed()
    .find(
      ({ loadedModels, stagedModels }) =>
        loadedModels[0] === 'large' && stagedModels.includes('small'),
    )!.fabricDomain!;

test('forms a group again when it loses a member while weights are staged beside it', () => {
  const { fabric, controller } = startFleet();
  controller.setDemand(demandOf(0.33));
  controller.advance(5_000);
  const memberIds = fabric
    .listed()
    .filter(({ membership }) => membership?.groupName.startsWith('large') && membership.rank === 3)
    .map(({ id }) => id);
  memberIds.forEach((id) => fabric.kill(id));
  controller.advance(4_000);
  assert.equal(countsOf(fabric), standing);
  controller.advance(30_000);
  assert.ok(fabric.servingCount('small') >= 23, JSON.stringify(countsOf(fabric)));
  assert.equal(fabric.violations, []);
});

test('ends a change whatever member is lost between staging and joining', () => {
  for (const rank of [0, 3]) {
    for (const afterMs of [0, 200, 500, 900, 1_300]) {
      const { fabric, controller } = startFleet();
      controller.setDemand(demandOf(0.33));
      advanceUntil(controller, 20_000, () => countStagedForOther(fabric) > 0);
      const domain = findChanging(fabric);
      controller.advance(afterMs);
      const victim = fabric
        .listed()
        .find((one) => one.fabricDomain === domain && one.membership?.rank === rank)!;
      fabric.kill(victim.id);
      controller.advance(30_000);
      const { large: largeCount, small: smallCount } = countsOf(fabric);
      assert.is(largeCount, 6);
      assert.ok(smallCount >= 23, `${smallCount} groups, rank ${rank} after ${afterMs} ms`);
      assert.equal(fabric.violations, []);
    }
  }
});

test('violates no invariant when orders to join and open are carried out late during a change', () => {
  for (const delayMs of [300, 1_000, 3_000]) {
    const { fabric, controller } = startFleet();
    controller.setDemand(demandOf(0.33));
    advanceUntil(controller, 20_000, () => countStagedForOther(fabric) > 0);
    fabric.delayNextJoin(delayMs);
    fabric.delayNextOpen(delayMs);
    controller.advance(30_000);
    assert.ok(fabric.servingCount('small') >= 23, JSON.stringify(countsOf(fabric)));
    assert.equal(fabric.violations, [], `orders carried out after ${delayMs} ms`);
  }
});

test.run();
