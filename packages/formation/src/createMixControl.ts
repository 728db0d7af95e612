import type * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import type * as telemetry from '@comfreydrum/telemetry';
import { busyTargetsOf } from './busyTargetsOf';
import { collectDomains } from './collectDomains';
import {
  assessConversion,
  decideMix,
  isDemandKnown,
  type DomainConversion,
  type MixDomain,
  type MixGain,
} from './decideMix';
import type { DemandSecond } from './DemandSecond';
import { countTargetsFor } from './countTargetsFor';
import { createGroupAvailability, type GroupCounts } from './createGroupAvailability';
import type { FormationInput } from './planFormation';
import { warmthFor } from './warmthFor';

/** Follows the division of the demand between the models of a service, one fabric domain at a time. */
export interface MixControl {
  /** Returns the conversion to go on with, if any. */
  readonly next: (
    serviceName: string,
    input: FormationInput,
    seconds: readonly DemandSecond[],
  ) => DomainConversion | undefined;
  /** Forgets all conversions; called when this daemon becomes the controller. */
  readonly reset: () => void;
}

export interface MixControlOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly metrics: telemetry.Metrics;
}

/** Outcomes of a conversion, as they are logged and counted. */
type MixOutcome = 'decided' | 'resumed' | 'given-up' | 'completed';

const messages: Readonly<Record<MixOutcome, string>> = {
  decided: 'a domain changes its model, as the demand asks for it',
  resumed: 'going on with a change that an earlier controller began',
  'given-up': 'a change of model was given up',
  completed: 'a domain has changed its model',
};

interface OngoingConversion {
  readonly conversion: DomainConversion;
  /** Number of groups of the new model that stood in the domain at the beginning. */
  readonly initialCount: number;
}

/** Reports whether a group is complete; the members of one that was closed are listed with it until they join another. */
const isStanding = ({ head, members, modelName }: fleet.Group, { engine }: FormationInput) =>
  head !== undefined &&
  head.membership.state !== 'broken' &&
  members.length === engine.models.find(({ name }) => name === modelName)?.groupSize;

/** The targets and standing groups of a service, by domain. */
const describeDomains = (input: FormationInput) => {
  const { isEvacuated = () => false } = input;
  const usable = input.targets.filter(
    (target) =>
      target.state === 'live' && !input.isLost(target) && !isEvacuated(target.failureDomain),
  );
  const groups = fleet.groupsOf(usable).filter((group) => isStanding(group, input));
  return collectDomains(usable).map((domain) => ({
    ...domain,
    modelName: input.modelByDomain.get(domain.name),
    groups: groups.filter(({ members }) => members[0]?.fabricDomain === domain.name),
  }));
};

type DescribedDomain = ReturnType<typeof describeDomains>[number];

const countStaged = ({ targets, modelName }: DescribedDomain): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  targets.forEach(({ stagedModels }) =>
    stagedModels
      .filter((name) => name !== modelName)
      .forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1)),
  );
  return counts;
};

const toMixDomain = (domain: DescribedDomain, modelName: string): MixDomain => ({
  name: domain.name,
  failureDomain: domain.failureDomain,
  modelName,
  targetCount: domain.targets.length,
  stagedCounts: countStaged(domain),
  standingCount: domain.groups.filter((group) => group.modelName === modelName).length,
});

/** Returns the model that a target works for if its host holds only another one, and that other one. */
const modelsOf = ({ loadedModels, stagedModels }: fleet.Target) => {
  const [fromModelName] = loadedModels;
  const [toModelName] = stagedModels;
  if (fromModelName === undefined || toModelName === undefined) return undefined;
  return stagedModels.includes(fromModelName) ? undefined : { fromModelName, toModelName };
};

const countGroupsOf = (
  model: fleet.ServedModel,
  domains: readonly DescribedDomain[],
  models: readonly fleet.ServedModel[],
): GroupCounts => {
  const plannedTargets = domains.reduce((sum, { modelName, targets }) => {
    const main = models.find(({ name }) => name === modelName);
    return main === undefined ? sum : sum + countTargetsFor(targets.length, main, model, models);
  }, 0);
  const standingCount = domains.reduce(
    (sum, { groups }) => sum + groups.filter(({ modelName }) => modelName === model.name).length,
    0,
  );
  return {
    modelName: model.name,
    plannedCount: plannedTargets / model.groupSize,
    standingCount,
  };
};

const countWarm = ({ targets }: DescribedDomain, modelName: string): number =>
  targets.filter((target) => warmthFor(target, modelName) !== 'cold').length;

const countGroups = ({ groups }: DescribedDomain, name: string): number =>
  groups.filter(({ modelName }) => modelName === name).length;

/** Reports whether the groups of the new model take all targets that they can. */
const isConverted = (
  domain: DescribedDomain,
  { fromModelName, toModelName }: DomainConversion,
  models: readonly fleet.ServedModel[],
): boolean => {
  const groupSize = models.find(({ name }) => name === toModelName)?.groupSize ?? 1;
  const restCount = domain.targets.length - countGroups(domain, toModelName) * groupSize;
  return restCount < groupSize && countWarm(domain, toModelName) > countWarm(domain, fromModelName);
};

/**
 * Returns a conversion that an earlier controller left: hosts hold other weights than those that their targets work for, and either
 * more groups of that other model stand than beside those of the previous one, or enough of the targets for one are in no group.
 */
const findInterrupted = (
  domain: DescribedDomain,
  models: readonly fleet.ServedModel[],
): DomainConversion | undefined => {
  const standing = new Set(domain.groups.flatMap(({ members }) => members.map(({ id }) => id)));
  const [found] = domain.targets.flatMap((target) => {
    const names = modelsOf(target);
    const from = models.find(({ name }) => name === names?.fromModelName);
    const to = models.find(({ name }) => name === names?.toModelName);
    if (from === undefined || to === undefined) return [];
    const freeCount = domain.targets.filter(
      (other) => !standing.has(other.id) && modelsOf(other)?.toModelName === to.name,
    ).length;
    const usualCount = countTargetsFor(domain.targets.length, from, to, models) / to.groupSize;
    const hasTurned = countGroups(domain, to.name) > usualCount;
    if (!hasTurned && freeCount < to.groupSize) return [];
    const conversion = {
      domainName: domain.name,
      fromModelName: from.name,
      toModelName: to.name,
    };
    return isConverted(domain, conversion, models) ? [] : [conversion];
  });
  return found;
};

const round = (value: number): number => Math.round(value * 1_000) / 1_000;

/** Creates a control without conversions. */
export const createMixControl = ({ clock, log, metrics }: MixControlOptions): MixControl => {
  const changeCount = metrics.counter(
    'comfreydrum_mix_changes_total',
    'Changes of the model of fabric domains, by what became of them.',
    ['outcome'],
  );
  const availability = createGroupAvailability(clock);
  const conversions = new Map<string, OngoingConversion>();
  /** Services whose demand this controller has known; it has begun what goes on there. */
  const judgedServices = new Set<string>();

  return {
    next: (serviceName, input, seconds) => {
      const { models } = input.engine;
      if (input.isBeforeTraffic || models.length < 2) return undefined;
      const described = describeDomains(input);
      const ongoing = conversions.get(serviceName);
      const current = ongoing?.conversion;
      const mixDomains = described.flatMap((domain) => {
        // A domain that is being converted counts for its previous model.
        const modelName =
          domain.name === current?.domainName ? current.fromModelName : domain.modelName;
        return modelName === undefined ? [] : [toMixDomain(domain, modelName)];
      });
      // Groups of a domain that is being converted close on purpose.
      const settled = described.filter(({ name }) => name !== current?.domainName);
      availability.observe(
        serviceName,
        models.map((model) => countGroupsOf(model, settled, models)),
      );
      const mixInput = {
        models,
        domains: mixDomains,
        seconds,
        availability: availability.of(serviceName),
      };

      const report = (outcome: MixOutcome, conversion: DomainConversion, gain?: MixGain) => {
        changeCount.add({ outcome });
        const countOf = (name: string) =>
          mixDomains.filter(({ modelName }) => modelName === name).length;
        log.info(
          {
            step: 'mix',
            service: serviceName,
            outcome,
            ...conversion,
            busyTargets: Object.fromEntries(
              [...busyTargetsOf(models, seconds)].map(([name, count]) => [name, round(count)]),
            ),
            domains: Object.fromEntries(models.map(({ name }) => [name, countOf(name)])),
            seconds: seconds.length,
            ...(gain && {
              worstBefore: round(gain.worstBefore),
              worstAfter: round(gain.worstAfter),
            }),
          },
          messages[outcome],
        );
      };

      const begin = (outcome: MixOutcome, conversion: DomainConversion, gain?: MixGain) => {
        const domain = described.find(({ name }) => name === conversion.domainName);
        const initialCount =
          outcome === 'resumed' || domain === undefined
            ? 0
            : countGroups(domain, conversion.toModelName);
        conversions.set(serviceName, { conversion, initialCount });
        report(outcome, conversion, gain);
        return conversion;
      };

      const end = (outcome: MixOutcome, conversion: DomainConversion, gain?: MixGain) => {
        conversions.delete(serviceName);
        report(outcome, conversion, gain);
        return undefined;
      };

      if (ongoing !== undefined && current !== undefined) {
        const domain = described.find(({ name }) => name === current.domainName);
        const isServed = [current.fromModelName, current.toModelName].every((name) =>
          models.some((model) => model.name === name),
        );
        if (domain === undefined || !isServed) return end('given-up', current);
        if (isConverted(domain, current, models)) return end('completed', current);
        if (countGroups(domain, current.toModelName) > ongoing.initialCount) return current;
        const gain = assessConversion(mixInput, current);
        if (gain === undefined || gain.worstAfter < gain.worstBefore) return current;
        return end('given-up', current, gain);
      }
      // Later on, the same state is that of a change that was given up.
      if (isDemandKnown(mixInput)) judgedServices.add(serviceName);
      const interrupted = judgedServices.has(serviceName)
        ? undefined
        : described
            .map((domain) => findInterrupted(domain, models))
            .find((found) => found !== undefined);
      if (interrupted !== undefined) return begin('resumed', interrupted);
      const decided = decideMix(mixInput);
      return decided && begin('decided', decided.conversion, decided.gain);
    },
    reset: () => {
      conversions.clear();
      judgedServices.clear();
    },
  };
};
