import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { WeightedPlacement } from '../placement/WeightedPlacement';
import { createTestModel } from '../testing/createTestModel';
import { BaselinePlacement } from './BaselinePlacement';
import { createTrace } from './createTrace';
import memberDeath from './traces/memberDeath.json' with { type: 'json' };
import { replayPlacement } from './replayPlacement';
import type { Trace } from './TraceEvent';

const test = uvu.suite('replay placement');

const options = {
  models: [createTestModel()],
  elasticModelKeys: [],
  fullRateLoads: 8,
  startMs: 20_000,
  warmUpMs: 600_000,
};
const msPerHour = 3_600_000;

test('the failure of a member costs the return wait, one load and one start', () => {
  const trace = memberDeath as Trace;
  const { groupDowntimeHours } = replayPlacement(trace, new WeightedPlacement(), options);
  const downMs = groupDowntimeHours * msPerHour;
  const { reconsiderMs } = new WeightedPlacement();
  assert.ok(downMs >= 80_000 && downMs <= 80_000 + 2 * reconsiderMs, `${downMs}`);
});

test('waiting for the member to return costs its whole absence, one load and one start', () => {
  const trace = memberDeath as Trace;
  const waitPolicy = new BaselinePlacement('wait', 'wait', []);
  const { groupDowntimeHours } = replayPlacement(trace, waitPolicy, options);
  assert.is(Math.round(groupDowntimeHours * msPerHour), 3_600_000 + 80_000);
});

test('the same seed gives the same trace', () => {
  const create = (seed: number) =>
    createTrace({
      name: 'small',
      seed,
      days: 1,
      failureDomainCount: 1,
      fabricDomainsPerFailureDomain: 1,
      instanceCount: 10,
      acceleratorsPerInstance: 4,
      failuresPerDay: 5,
      restartsPerDay: 5,
      pausesPerDay: 5,
      rackFailuresPerDay: 0,
      domainFailuresPerDay: 0,
      flappingCount: 1,
    });
  assert.equal(create(3), create(3));
  assert.not.equal(create(3).events, create(4).events);
});

test.run();
