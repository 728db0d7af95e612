import * as fleet from '@comfreydrum/fleet';
import { evaluateGroup, type GroupCondition } from './evaluateGroup';
import type { FormationInput } from './planFormation';

/** Counts of the targets and groups of a service, for the log. */
export interface FleetSummary {
  readonly listed: number;
  readonly lost: number;
  readonly leaving: number;
  /** Number of groups by model and condition, with keys such as `draft serving`. */
  readonly groups: Readonly<Record<string, number>>;
  /** Number of targets in no group, by the model staged on their host; `none` if there is none. */
  readonly idle: Readonly<Record<string, number>>;
  /** Number of targets that are loading weights onto their host. */
  readonly staging: number;
}

const count = (names: readonly string[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  names.forEach((name) => {
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
};

/** Summarizes the state that a formation plan is made from. */
export const summarizeFleet = (input: FormationInput): FleetSummary => {
  const { engine, targets } = input;
  const conditionOf = (group: fleet.Group): GroupCondition['kind'] | 'unknown' => {
    const model = engine.models.find(({ name }) => name === group.modelName);
    if (model === undefined) return 'unknown';
    return evaluateGroup(group, { ...input, groupSize: model.groupSize }).kind;
  };
  const groups = fleet.groupsOf(targets);
  return {
    listed: targets.length,
    lost: targets.filter(input.isLost).length,
    leaving: targets.filter(({ state }) => state === 'leaving').length,
    groups: count(groups.map((group) => `${group.modelName} ${conditionOf(group)}`)),
    idle: count(
      targets
        .filter((target) => target.membership === undefined && !input.isLost(target))
        .map(({ stagedModels }) => stagedModels[0] ?? 'none'),
    ),
    staging: targets.filter((target) => input.stagingModelOf(target) !== undefined).length,
  };
};
