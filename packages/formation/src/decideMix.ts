import type * as fleet from '@comfreydrum/fleet';
import { busyTargetsOf } from './busyTargetsOf';
import { countTargetsFor } from './countTargetsFor';
import { sumDemand, type DemandSecond } from './DemandSecond';

/** A fabric domain as the decision sees it. */
export interface MixDomain {
  readonly name: string;
  readonly failureDomain: string;
  /** Main model of the domain. */
  readonly modelName: string;
  readonly targetCount: number;
  /** Number of targets whose host holds a model although they work for another one. */
  readonly stagedCounts: ReadonlyMap<string, number>;
  /** Number of groups that would have to close. */
  readonly standingCount: number;
}

/** The change of the main model of a fabric domain. */
export interface DomainConversion {
  readonly domainName: string;
  readonly fromModelName: string;
  readonly toModelName: string;
}

/** What a decision is made from. */
export interface MixInput {
  readonly models: readonly fleet.ServedModel[];
  readonly domains: readonly MixDomain[];
  /** Work in the last seconds, the latest first; fewer than `mixSeconds` soon after the first request. */
  readonly seconds: readonly DemandSecond[];
  /** Fraction of each model's groups that stood lately; the others had lost members. */
  readonly availability: ReadonlyMap<string, number>;
}

/** Occupancy of the fullest model's targets, as a fraction of their time. */
export interface MixGain {
  readonly worstBefore: number;
  readonly worstAfter: number;
}

/** Number of seconds whose demand together decides. */
export const mixSeconds = 10;
/** A change must do no harm in any of this many seconds; a burst of three seconds leaves at least one of them as it was. */
const steadySeconds = 5;
/** Standard errors of the counted demand by which it may be otherwise. */
const cautionErrors = 1;
/** Standard errors by which the division of the demand has to differ from the configured one. */
const differenceErrors = 4;
const minSeconds = 2;
const minRequestCount = 100;
/** Below this occupancy, a rise of the demand by half leaves all batches less than half full, and callers gain nothing. */
const minOccupancy = 0.4;
/** A change moves a domain's groups for many seconds, so it has to reduce the worst occupancy by this fraction. */
const minReduction = 0.1;
/** A second may contradict by this fraction, as it holds few requests. */
const secondTolerance = 0.05;

/** Work that moved between models changes the demand of both by at least this fraction. */
const minMovedFraction = 0.2;

type Move = Pick<DomainConversion, 'domainName' | 'toModelName'>;

const worstOccupancy = (
  { models, domains, availability }: MixInput,
  busyTargets: ReadonlyMap<string, number>,
  move?: Move,
): number => {
  const capacityOf = (model: fleet.ServedModel): number =>
    domains.reduce((sum, { name, modelName, targetCount }) => {
      const mainName = name === move?.domainName ? move.toModelName : modelName;
      const main = models.find((other) => other.name === mainName);
      return main === undefined ? sum : sum + countTargetsFor(targetCount, main, model, models);
    }, 0);
  return Math.max(
    ...models.map((model) => {
      const busy = busyTargets.get(model.name) ?? 0;
      const capacity = capacityOf(model) * (availability.get(model.name) ?? 1);
      if (busy === 0) return 0;
      return capacity === 0 ? Infinity : busy / capacity;
    }),
  );
};

const gainOf = (
  input: MixInput,
  busyTargets: ReadonlyMap<string, number>,
  move: Move,
): MixGain => ({
  worstBefore: worstOccupancy(input, busyTargets),
  worstAfter: worstOccupancy(input, busyTargets, move),
});

const isClear = ({ worstBefore, worstAfter }: MixGain): boolean =>
  worstBefore >= minOccupancy && worstAfter <= worstBefore * (1 - minReduction);

/** Returns the demand if the giving model has more than was counted, and the taking one less, by some standard errors. */
const cautious = (
  { seconds }: MixInput,
  busyTargets: ReadonlyMap<string, number>,
  { fromModelName, toModelName }: DomainConversion,
): ReadonlyMap<string, number> => {
  const errorOf = (name: string) =>
    cautionErrors / Math.sqrt(Math.max(1, sumDemand(seconds, name).requestCount));
  return new Map(
    [...busyTargets].map(([name, busy]) => {
      if (name === fromModelName) return [name, busy * (1 + errorOf(name))];
      return [name, name === toModelName ? busy * (1 - errorOf(name)) : busy];
    }),
  );
};

const countRequests = ({ models, seconds }: MixInput): number =>
  models.reduce((sum, { name }) => sum + sumDemand(seconds, name).requestCount, 0);

/** Reports whether enough requests have arrived to judge the division of the demand. */
export const isDemandKnown = (input: MixInput): boolean =>
  input.seconds.length >= minSeconds && countRequests(input) >= minRequestCount;

/** Returns what a conversion gains by the demand of some seconds. */
const gainIn = (
  input: MixInput,
  seconds: readonly DemandSecond[],
  conversion: DomainConversion,
): MixGain => gainOf(input, busyTargetsOf(input.models, seconds), conversion);

/**
 * Returns what a conversion that has begun gains: by the demand of the last seconds or by that of the latest one, whichever shows
 * more. Undefined if the demand isn't known.
 */
export const assessConversion = (
  input: MixInput,
  conversion: DomainConversion,
): MixGain | undefined => {
  if (!isDemandKnown(input)) return undefined;
  const lasting = gainIn(input, input.seconds, conversion);
  const latest = gainIn(input, input.seconds.slice(0, 1), conversion);
  const reductionOf = ({ worstBefore, worstAfter }: MixGain) => worstBefore - worstAfter;
  return reductionOf(latest) > reductionOf(lasting) ? latest : lasting;
};

/** Lists the domains that could be converted to a model, the least disturbed first. */
const listConversions = (
  { domains }: MixInput,
  toModelName: string,
): readonly DomainConversion[] => {
  const others = (domain: MixDomain) =>
    domains.filter(({ name, modelName }) => name !== domain.name && modelName === domain.modelName);
  const stagedCount = ({ stagedCounts }: MixDomain) => stagedCounts.get(toModelName) ?? 0;
  const leavesFailureDomain = (domain: MixDomain) =>
    others(domain).some(({ failureDomain }) => failureDomain === domain.failureDomain) ? 0 : 1;
  return domains
    .filter((domain) => domain.modelName !== toModelName && others(domain).length > 0)
    .sort(
      (one, other) =>
        stagedCount(other) - stagedCount(one) ||
        leavesFailureDomain(one) - leavesFailureDomain(other) ||
        one.standingCount - other.standingCount ||
        one.name.localeCompare(other.name),
    )
    .map(({ name, modelName }) => ({
      domainName: name,
      fromModelName: modelName,
      toModelName,
    }));
};

/** Reports whether a conversion clearly reduces the worst occupancy, also at a somewhat different demand. */
const pays = (input: MixInput, conversion: DomainConversion): boolean => {
  const busyTargets = busyTargetsOf(input.models, input.seconds);
  if (!isClear(gainOf(input, busyTargets, conversion))) return false;
  const { worstBefore, worstAfter } = gainOf(
    input,
    cautious(input, busyTargets, conversion),
    conversion,
  );
  return worstAfter < worstBefore;
};

/** Reports whether the demand for two models is divided otherwise than configured, by more than chance. */
const differsFromShares = (
  { models, seconds }: MixInput,
  { fromModelName, toModelName }: DomainConversion,
): boolean => {
  const shareOf = (modelName: string) =>
    models.find(({ name }) => name === modelName)?.demandShare ?? 0;
  const from = sumDemand(seconds, fromModelName);
  const to = sumDemand(seconds, toModelName);
  const measured = to.targetMs / Math.max(1, from.targetMs);
  const configured = shareOf(toModelName) / shareOf(fromModelName);
  const error = Math.sqrt(1 / Math.max(1, from.requestCount) + 1 / Math.max(1, to.requestCount));
  return Math.log(measured / configured) > differenceErrors * error;
};

const isNeverHarmful = (input: MixInput, conversion: DomainConversion): boolean =>
  input.seconds.slice(0, steadySeconds).every((second) => {
    const { worstBefore, worstAfter } = gainIn(input, [second], conversion);
    return worstAfter <= worstBefore * (1 + secondTolerance);
  });

/**
 * Reports whether work has moved from the giving model to the taking one: less of the one arrived in the latest second than in those
 * before, and more of the other. A burst adds work to one model and takes none from the other, so it need not be waited for.
 */
const hasMoved = ({ seconds }: MixInput, conversion: DomainConversion): boolean => {
  const [latest, ...earlier] = seconds;
  if (latest === undefined || earlier.length < minSeconds) return false;
  const changeOf = (name: string) => {
    const before = sumDemand(earlier, name);
    const now = sumDemand([latest], name);
    const usualMs = before.targetMs / earlier.length;
    const error = Math.sqrt(
      1 / Math.max(1, now.requestCount) + 1 / Math.max(1, before.requestCount),
    );
    return { fraction: now.targetMs / Math.max(1, usualMs) - 1, error };
  };
  const given = changeOf(conversion.fromModelName);
  const taken = changeOf(conversion.toModelName);
  return (
    -given.fraction > Math.max(minMovedFraction, 2 * given.error) &&
    taken.fraction > Math.max(minMovedFraction, 2 * taken.error)
  );
};

/**
 * Decides which fabric domain should change its main model, if any: one that clearly reduces the occupancy of the model whose
 * targets are fullest, by the demand of the last seconds, by a somewhat different one, and in each of these seconds. Where work has
 * moved from one model to the other, the latest second suffices.
 *
 * Answers demand whose division between the models differs for long from the one that targets are divided by. A swing of the
 * whole demand leaves the decision as it is.
 */
export const decideMix = (
  input: MixInput,
): { readonly conversion: DomainConversion; readonly gain: MixGain } | undefined => {
  if (!isDemandKnown(input)) return undefined;
  const latest: MixInput = { ...input, seconds: input.seconds.slice(0, 1) };
  const hasEnoughRequests = countRequests(latest) >= minRequestCount;
  const isWarranted = (conversion: DomainConversion): boolean =>
    (differsFromShares(input, conversion) &&
      pays(input, conversion) &&
      isNeverHarmful(input, conversion)) ||
    (hasEnoughRequests &&
      hasMoved(input, conversion) &&
      differsFromShares(latest, conversion) &&
      pays(latest, conversion));
  return (
    input.models
      .flatMap(({ name }) => listConversions(input, name))
      .filter(isWarranted)
      .map((conversion) => ({ conversion, gain: assessConversion(input, conversion)! }))
      // Sorting keeps the order of domains with equal gains.
      .sort((one, other) => one.gain.worstAfter - other.gain.worstAfter)[0]
  );
};
