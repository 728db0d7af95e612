import * as fleet from '@comfreydrum/fleet';
import { assignModels, type FabricDomain } from './assignModels';
import { collectDomains } from './collectDomains';
import type { DomainConversion } from './decideMix';
import type { FormationStep } from './FormationStep';
import { planConversion } from './planConversion';
import { planDomain, type StagingCandidate } from './planDomain';
import { evaluateGroup, type GroupContext, type GroupCondition } from './evaluateGroup';

/** The state of a service that its next steps are planned from. */
export interface FormationInput extends Omit<GroupContext, 'groupSize'> {
  readonly engine: fleet.EngineProfile;
  /** Listed targets of the service. */
  readonly targets: readonly fleet.Target[];
  /** Reports whether requests to a failure domain have been ordered to end for a while; defaults to none. */
  readonly isEvacuated?: (failureDomain: string) => boolean;
  /** Reports whether the target has an order whose effect is not listed yet. */
  readonly hasPendingOrder: (target: fleet.Target) => boolean;
  /** Returns the model whose weights the target is loading onto its host. */
  readonly stagingModelOf: (target: fleet.Target) => string | undefined;
  /** Model of each fabric domain in the previous plan. */
  readonly modelByDomain: ReadonlyMap<string, string>;
  /** Whether no caller has sent a request yet; until then loading weights is cheap. */
  readonly isBeforeTraffic: boolean;
  /** Whether more targets are likely to register, so that the sizes of the fabric domains are not known yet. */
  readonly isRegistering: boolean;
  /** The fabric domain that changes its main model, if any. */
  readonly conversion?: DomainConversion | undefined;
}

/** The next steps for a service, and the model assigned to each fabric domain. */
export interface FormationPlan {
  readonly steps: readonly FormationStep[];
  readonly modelByDomain: ReadonlyMap<string, string>;
}

/** Before traffic, joins may exceed the number of loads that run at full speed by this many. */
const extraLoadsBeforeTraffic = 3;

const largestOf = (models: readonly fleet.ServedModel[]): fleet.ServedModel | undefined =>
  [...models].sort((one, other) => other.groupSize - one.groupSize)[0];

/**
 * Returns the models of the domains in which a target holds or loads weights. The others are assigned anew, as a domain
 * may prove larger while its targets register.
 */
const startedAssignments = (
  domains: readonly FabricDomain[],
  input: FormationInput,
): ReadonlyMap<string, string> => {
  const hasStarted = (target: fleet.Target): boolean =>
    target.stagedModels.length > 0 ||
    target.loadedModels.length > 0 ||
    target.membership !== undefined ||
    input.hasPendingOrder(target) ||
    input.stagingModelOf(target) !== undefined;
  const startedNames = new Set(
    domains.filter(({ targets }) => targets.some(hasStarted)).map(({ name }) => name),
  );
  return new Map([...input.modelByDomain].filter(([name]) => startedNames.has(name)));
};

const isIn = ({ members }: fleet.Group, { name }: FabricDomain): boolean =>
  members.some(({ fabricDomain }) => fabricDomain === name);

/** Returns undefined for a group of an unknown model, which formation does not manage. */
const evaluate = (group: fleet.Group, input: FormationInput): GroupCondition | undefined => {
  const model = input.engine.models.find(({ name }) => name === group.modelName);
  return model && evaluateGroup(group, { ...input, groupSize: model.groupSize });
};

/** Plans the steps for existing groups. */
const stepsForGroups = (
  evaluated: readonly {
    readonly group: fleet.Group;
    readonly condition: GroupCondition | undefined;
  }[],
  input: FormationInput,
): readonly FormationStep[] =>
  evaluated.flatMap(({ group, condition }): readonly FormationStep[] => {
    const { head } = group;
    if (condition?.kind === 'abandoned') {
      return group.members
        .filter((member) => !input.isLost(member) && !input.hasPendingOrder(member))
        .map((member) => ({
          kind: 'leave',
          group,
          member,
          reason: 'no daemon can reach the head',
        }));
    }
    if (head === undefined || condition === undefined || input.hasPendingOrder(head)) return [];
    if (condition.kind === 'must-leave') {
      return [
        { kind: 'leave', group, member: head, reason: 'the group must not be opened any more' },
      ];
    }
    if (condition.kind === 'openable') return [{ kind: 'open', group, head }];
    if (condition.kind === 'must-shed') {
      return [{ kind: 'close', group, head, mode: 'shed-work', reason: 'a member is lost' }];
    }
    if (condition.kind !== 'must-close') return [];
    const mode = condition.shedsWork ? 'shed-work' : 'finish-work';
    const reason = condition.isMemberGone ? 'a member is lost' : 'a member is leaving';
    return [{ kind: 'close', group, head, mode, reason }];
  });

/** Orders by rank, those in emptied failure domains last: groups there take no requests until later. */
const compareStagingCandidates =
  ({ isEvacuated = () => false }: FormationInput) =>
  (one: StagingCandidate, other: StagingCandidate): number =>
    Number(isEvacuated(one.target.failureDomain)) -
      Number(isEvacuated(other.target.failureDomain)) ||
    one.rank - other.rank ||
    one.target.id.localeCompare(other.target.id);

/**
 * Plans the next steps: opens groups that are ready, closes groups that lost a member, forms groups from
 * free targets that hold the weights, and stages weights where the fewest loads complete a group.
 *
 * Targets may be lost and added faster than the weight store can load them. Groups are therefore formed from
 * targets that hold the weights already, and concurrent loads are limited.
 */
export const planFormation = (input: FormationInput): FormationPlan => {
  const { engine, targets } = input;
  const evaluated = fleet
    .groupsOf(targets)
    .map((group) => ({ group, condition: evaluate(group, input) }));
  const reservedKeys = new Set(
    evaluated
      .filter(({ condition }) => condition?.kind !== 'dissolved')
      .flatMap(({ group }) => group.members.map(fleet.runKeyOf)),
  );
  const usable = targets.filter((target) => target.state === 'live' && !input.isLost(target));
  const free = usable.filter(
    (target) => !reservedKeys.has(fleet.runKeyOf(target)) && !input.hasPendingOrder(target),
  );
  const domains = collectDomains(usable);
  const { conversion } = input;
  const modelByDomain = assignModels(
    domains,
    engine.models,
    startedAssignments(domains, input),
    conversion && new Map([[conversion.domainName, conversion.toModelName]]),
  );

  const isLoading = (target: fleet.Target): boolean => {
    if (input.stagingModelOf(target) !== undefined) return true;
    if (target.membership?.state !== 'joining' && !input.hasPendingOrder(target)) return false;
    return target.stagedModels.length === 0 && target.loadedModels.length === 0;
  };
  let loadingCount = usable.filter(isLoading).length;

  const tryReserveLoads = (count: number): boolean => {
    if (!input.isBeforeTraffic) return false;
    if (loadingCount + count > engine.concurrentLoads + extraLoadsBeforeTraffic) return false;
    loadingCount += count;
    return true;
  };

  const steps: FormationStep[] = [...stepsForGroups(evaluated, input)];
  const stagingCandidates: StagingCandidate[] = [];
  domains.forEach((domain) => {
    const model = engine.models.find(({ name }) => name === modelByDomain.get(domain.name));
    if (model === undefined) return;
    if (input.isRegistering && input.isBeforeTraffic && model !== largestOf(engine.models)) return;
    const domainInput = {
      ...input,
      domain,
      model,
      free: free.filter(({ fabricDomain }) => fabricDomain === domain.name),
      tryReserveLoads,
    };
    const fromModel =
      conversion?.domainName === domain.name
        ? engine.models.find(({ name }) => name === conversion.fromModelName)
        : undefined;
    const planned =
      fromModel === undefined
        ? planDomain(domainInput)
        : planConversion({
            ...domainInput,
            fromModel,
            groups: evaluated.filter(({ group }) => isIn(group, domain)),
            isServedElsewhere: evaluated.some(
              ({ group, condition }) =>
                group.modelName === fromModel.name &&
                condition?.kind === 'serving' &&
                !isIn(group, domain),
            ),
          });
    steps.push(...planned.steps);
    stagingCandidates.push(...planned.stagingCandidates);
  });

  stagingCandidates
    .sort(compareStagingCandidates(input))
    .slice(0, Math.max(0, engine.concurrentLoads - loadingCount))
    .forEach(({ target, modelName, missingCount }) =>
      steps.push({
        kind: 'stage',
        modelName,
        target,
        reason: `${missingCount} more targets with the weights complete a group`,
      }),
    );
  return { steps, modelByDomain };
};
