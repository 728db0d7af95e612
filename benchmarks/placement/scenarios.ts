import type { PlacementModel } from '../../packages/groups/src/placement/PlacementPolicy';
import { createTrace, type TraceOptions } from '../../packages/groups/src/replay/createTrace';
import type { ReplayOptions } from '../../packages/groups/src/replay/replayPlacement';

/** A fleet, its failure rates and the models to place on it. */
export interface Scenario {
  readonly trace: Omit<TraceOptions, 'seed'>;
  readonly models: readonly PlacementModel[];
  readonly replay: Omit<ReplayOptions, 'models'>;
}

const hourMs = 3_600_000;
const fillerKey = 'team/filler';

const model = (
  name: string,
  groupCount: number,
  instancesPerGroup: number,
  value: number,
): PlacementModel => ({
  modelKey: `team/${name}`,
  version: '1',
  targetKind: 'engine',
  groupCount,
  instancesPerGroup,
  failureDomains: [],
  value,
  loadTimeMs: 180_000,
  downtimeWeight: 0.5,
  strandedWeight: 0.5,
});

/** Wants more groups than fit, so that it uses all instances that the other models leave free. */
const filler = model('filler', 400, 1, 0.005);

const largeFleetTrace: Scenario['trace'] = {
  name: 'letter',
  days: 2,
  failureDomainCount: 15,
  fabricDomainsPerFailureDomain: 4,
  instanceCount: 2_000,
  acceleratorsPerInstance: 4,
  failuresPerDay: 38,
  restartsPerDay: 290,
  pausesPerDay: 60,
  rackFailuresPerDay: 1 / 45,
  domainFailuresPerDay: 1.5 / 365,
  flappingCount: 2,
};

const largeFleetModels = [
  model('main', 100, 16, 10),
  model('mid', 24, 8, 4),
  model('small', 40, 2, 1),
  filler,
];

const replay: Scenario['replay'] = {
  elasticModelKeys: [fillerKey],
  fullRateLoads: 64,
  startMs: 20_000,
  warmUpMs: 3 * hourMs,
};

/**
 * The scenarios: `letter` is a fleet of 2,000 instances, `correlated` the same fleet with failures of
 * two racks and one failure domain a day, and `today` the current fleet of 50 instances.
 */
export const scenarios: Readonly<Record<string, Scenario>> = {
  letter: { trace: largeFleetTrace, models: largeFleetModels, replay },
  correlated: {
    trace: {
      ...largeFleetTrace,
      name: 'correlated',
      days: 1,
      rackFailuresPerDay: 2,
      domainFailuresPerDay: 1,
    },
    models: largeFleetModels,
    replay,
  },
  today: {
    trace: {
      ...largeFleetTrace,
      name: 'today',
      days: 30,
      failureDomainCount: 3,
      fabricDomainsPerFailureDomain: 1,
      instanceCount: 50,
      failuresPerDay: 0.95,
      restartsPerDay: 7.25,
      pausesPerDay: 1.5,
      flappingCount: 2,
    },
    models: [model('main', 11, 4, 10), filler],
    replay,
  },
};

/** Creates the trace of a scenario from a seed. */
export const createScenarioTrace = ({ trace }: Scenario, seed: number) =>
  createTrace({ ...trace, seed });

export const fillerModelKey = fillerKey;
