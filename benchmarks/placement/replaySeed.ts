/**
 * Replays one seed of a scenario with each placement policy and prints the results:
 * `replaySeed.ts <scenario> <seed>`.
 */
import process from 'node:process';
import { WeightedPlacement } from '../../packages/groups/src/placement/WeightedPlacement';
import { BaselinePlacement } from '../../packages/groups/src/replay/BaselinePlacement';
import { replayPlacement } from '../../packages/groups/src/replay/replayPlacement';
import type { PlacementPolicy } from '../../packages/groups/src/placement/PlacementPolicy';
import { fillerModelKey, scenarios, createScenarioTrace } from './scenarios';

const [scenarioName = 'letter', seedText = '1'] = process.argv.slice(2);
const scenario = scenarios[scenarioName]!;
const trace = createScenarioTrace(scenario, Number(seedText));
const downtimeWeights = [1, 0.8, 0.5, 0.2, 0];

const replay = (name: string, policy: PlacementPolicy, downtimeWeight: number) => {
  const models = scenario.models.map((model) =>
    model.modelKey === fillerModelKey
      ? { ...model, downtimeWeight: 0, strandedWeight: 1 }
      : { ...model, downtimeWeight, strandedWeight: 1 - downtimeWeight },
  );
  const figures = replayPlacement(trace, policy, { ...scenario.replay, models });
  return {
    name,
    downtimeHoursPerDay: figures.groupDowntimeHours / figures.days,
    strandedHoursPerDay: figures.strandedAcceleratorHours / figures.days,
    loadsPerDay: figures.loadedInstances / figures.days,
  };
};

const baselines = (['reform', 'spare', 'wait'] as const).flatMap((repair) => [
  new BaselinePlacement(repair, repair, [fillerModelKey]),
  new BaselinePlacement(`${repair}+filler`, repair, []),
]);

const results = [
  ...baselines.map((policy) => replay(policy.name, policy, 0.5)),
  ...downtimeWeights.map((weight) => replay(`weighted ${weight}`, new WeightedPlacement(), weight)),
];
console.log(JSON.stringify(results));
