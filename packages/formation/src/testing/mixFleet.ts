import type * as fleet from '@comfreydrum/fleet';
import type { DemandSecond } from '../DemandSecond';
import { createFakeFabric, type FakeFabric } from './createFakeFabric';
import { simulateController, type SimulatedController } from './simulateController';

export const large: fleet.ServedModel = {
  name: 'large',
  groupSize: 8,
  paceFactor: 1,
  demandShare: 0.5,
  loadMs: 16_000,
  stagedJoinMs: 1_600,
};
export const small: fleet.ServedModel = {
  name: 'small',
  groupSize: 4,
  paceFactor: 0.6,
  demandShare: 0.5,
  loadMs: 12_000,
  stagedJoinMs: 1_100,
};
export const engine: fleet.EngineProfile = {
  slotsPerGroup: 24,
  models: [large, small],
  stepMs: 6.07,
  stepMsPerRequest: 0.06,
  stepsPerEvent: 5,
  promptTokensPerSecond: 46_000,
  concurrentLoads: 21,
  loadStartsPerSecond: 14,
};
export const domainNames = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3', 'c1', 'c2', 'c3'] as const;
const targetsPerDomain = 19;
export const usualBusyTargets = 72;

export const demandOf = (largeShare: number, busyTargets = usualBusyTargets): DemandSecond =>
  new Map([
    ['large', { targetMs: largeShare * busyTargets * 1_000, requestCount: 60 }],
    ['small', { targetMs: (1 - largeShare) * busyTargets * 1_000, requestCount: 220 }],
  ]);

export const standing = { large: 8, small: 20 };

/** Advances until a condition holds, and returns the time that it took. */
export const advanceUntil = (
  controller: SimulatedController,
  limitMs: number,
  holds: () => boolean,
) => {
  let tookMs = 0;
  for (; tookMs < limitMs && !holds(); tookMs += 100) controller.advance(100);
  return tookMs;
};

/** Starts a fleet whose groups stand, as after quick loads before traffic. */
export const startFleet = (): { fabric: FakeFabric; controller: SimulatedController } => {
  const quick = engine.models.map((model) => ({ ...model, loadMs: model.loadMs / 10 }));
  const current = { ...engine, models: quick };
  const fabric = createFakeFabric({ engine: current });
  domainNames.forEach((name) =>
    Array.from({ length: targetsPerDomain }, (_, index) =>
      fabric.add(`${name}-${index}`, name, name.slice(0, 1)),
    ),
  );
  const controller = simulateController(fabric, current);
  const isStanding = () =>
    fabric.servingCount('large') === standing.large &&
    fabric.servingCount('small') === standing.small;
  advanceUntil(controller, 20_000, isStanding);
  controller.advance(3_000);
  current.models = [large, small];
  controller.setTraffic(true);
  return { fabric, controller };
};

export const countsOf = (fabric: FakeFabric) => ({
  large: fabric.servingCount('large'),
  small: fabric.servingCount('small'),
});

/** Returns the names of the groups whose head is listed as open. */
export const servingNames = (fabric: FakeFabric): ReadonlySet<string> =>
  new Set(
    fabric
      .listed()
      .filter(({ membership }) => membership?.rank === 0 && membership.state === 'open')
      .map(({ membership }) => membership!.groupName),
  );

/** Returns the number of targets whose hosts hold another model than the one that they work for. */
export const countStagedForOther = (fabric: FakeFabric): number =>
  fabric
    .listed()
    .filter(
      ({ loadedModels, stagedModels }) =>
        loadedModels[0] !== undefined && !stagedModels.includes(loadedModels[0]),
    ).length;

/** Occupancy of the fullest model's targets. */
export const worstOccupancy = (fabric: FakeFabric, largeShare: number): number =>
  Math.max(
    (largeShare * usualBusyTargets) / (fabric.servingCount('large') * 8),
    ((1 - largeShare) * usualBusyTargets) / (fabric.servingCount('small') * 4),
  );
