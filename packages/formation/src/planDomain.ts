import type * as fleet from '@comfreydrum/fleet';
import type { FabricDomain } from './assignModels';
import { findSecondaryModel, minSpares } from './findSecondaryModel';
import { formGroups } from './formGroups';
import type { FormationStep } from './FormationStep';
import { warmthFor } from './warmthFor';

/** A free target that could load the weights of a model onto its host. */
export interface StagingCandidate {
  readonly target: fleet.Target;
  readonly modelName: string;
  /** Targets that still need the weights to complete a group; more than the group size for a spare. */
  readonly missingCount: number;
  /** The candidates with the lowest ranks are staged first. */
  readonly rank: number;
}

/** The state of a fabric domain, and the model assigned to it. */
export interface DomainInput {
  readonly engine: fleet.EngineProfile;
  readonly domain: FabricDomain;
  readonly model: fleet.ServedModel;
  /** Targets that belong to no group and have no pending order. */
  readonly free: readonly fleet.Target[];
  readonly stagingModelOf: (target: fleet.Target) => string | undefined;
  readonly isBeforeTraffic: boolean;
  readonly isRegistering: boolean;
  /** Reserves that many loads to join groups; false if they must not start now. */
  readonly tryReserveLoads: (count: number) => boolean;
}

/** The groups to form in a fabric domain, and the targets that could be staged there. */
export interface DomainPlan {
  readonly steps: readonly FormationStep[];
  readonly stagingCandidates: readonly StagingCandidate[];
}

const countWarm = ({ targets }: FabricDomain, { name }: fleet.ServedModel): number =>
  targets.filter((target) => warmthFor(target, name) !== 'cold').length;

/** Returns the model of the groups beside those of the main model; targets that hold weights keep theirs. */
const secondaryModelOf = ({
  domain,
  model,
  engine,
}: DomainInput): fleet.ServedModel | undefined => {
  const mainCount = countWarm(domain, model);
  const held = engine.models.find(
    (other) =>
      other.groupSize < model.groupSize &&
      countWarm(domain, other) > 0 &&
      countWarm(domain, other) < mainCount,
  );
  return held ?? findSecondaryModel(domain.targets.length, model, engine.models)?.model;
};

/** Lists the targets without weights, each with the model whose next group it helps to complete soonest. */
const listStagingCandidates = (
  input: DomainInput,
  left: readonly fleet.Target[],
  secondary: fleet.ServedModel | undefined,
): readonly StagingCandidate[] => {
  const { model, free, stagingModelOf } = input;
  const isWarm = (target: fleet.Target, { name }: fleet.ServedModel) =>
    warmthFor(target, name) !== 'cold';
  const readyCountOf = (other: fleet.ServedModel): number =>
    left.filter((target) => isWarm(target, other)).length +
    free.filter((target) => stagingModelOf(target) === other.name).length;
  const cold = left.filter(
    (target) => !isWarm(target, model) && (secondary === undefined || !isWarm(target, secondary)),
  );
  const readyCount = readyCountOf(model);
  const missingCount = model.groupSize - readyCount;
  // Before traffic, groups that can be completed come before spares.
  const isSpare = input.isBeforeTraffic && free.length < model.groupSize;
  const toMain = (target: fleet.Target, index: number): StagingCandidate => {
    const isNeeded = !isSpare && index < missingCount;
    const neededCount = isNeeded ? missingCount : model.groupSize + 1;
    const rank = isNeeded ? missingCount : model.groupSize + 2;
    return { target, modelName: model.name, missingCount: neededCount, rank };
  };
  if (secondary === undefined || missingCount <= cold.length) return cold.map(toMain);
  const otherMissingCount = secondary.groupSize - readyCountOf(secondary);
  const restCount = cold.length - Math.max(0, minSpares - readyCount);
  if (otherMissingCount <= 0 || otherMissingCount > restCount) return cold.map(toMain);
  return cold.map((target, index) =>
    index < otherMissingCount
      ? {
          target,
          modelName: secondary.name,
          missingCount: otherMissingCount,
          // Before traffic loads are quick, and the groups of the main models come first.
          rank: input.isBeforeTraffic ? model.groupSize + 1 : otherMissingCount,
        }
      : toMain(target, model.groupSize),
  );
};

/**
 * Plans the groups of a fabric domain: those of its main model first, then those of another model that fit into the
 * rest. While targets register, the rest is not known yet.
 */
export const planDomain = (input: DomainInput): DomainPlan => {
  const { domain, model, free, stagingModelOf, tryReserveLoads } = input;
  const secondary = secondaryModelOf(input);
  const notStaging = free.filter((target) => stagingModelOf(target) === undefined);
  const isStaging = free.some((target) => stagingModelOf(target) === model.name);
  const isLastGroup = free.length < 2 * model.groupSize;
  // Targets that are being staged complete the last group, which needs no loads of others then.
  const mayLoad = (count: number) => !(isStaging && isLastGroup) && tryReserveLoads(count);
  const main = formGroups(notStaging, model, mayLoad);
  const isRestKnown = !(input.isRegistering && input.isBeforeTraffic);
  if (!isRestKnown) {
    const isRest = domain.targets.length >= model.groupSize && free.length < model.groupSize;
    const candidates = isRest ? [] : listStagingCandidates(input, main.left, undefined);
    return { steps: main.steps, stagingCandidates: candidates };
  }
  if (secondary === undefined) {
    const candidates = listStagingCandidates(input, main.left, undefined);
    return { steps: main.steps, stagingCandidates: candidates };
  }
  const warm = main.left.filter((target) => warmthFor(target, secondary.name) !== 'cold');
  const others = formGroups(warm, secondary, tryReserveLoads);
  const formedIds = new Set(
    others.steps.flatMap((step) => (step.kind === 'form' ? step.members.map(({ id }) => id) : [])),
  );
  const left = main.left.filter(({ id }) => !formedIds.has(id));
  return {
    steps: [...main.steps, ...others.steps],
    stagingCandidates: listStagingCandidates(input, left, secondary),
  };
};
