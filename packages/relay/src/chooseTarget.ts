import type { TargetStats } from './createTargetTracker';

/** A target that may be sent a request. */
export interface Candidate {
  /** Identifies the run of the target. */
  readonly key: string;
  readonly targetId: string;
  /** Start time of the run. */
  readonly startedAtMs: number;
  readonly failureDomain: string;
  readonly address: string;
  /** Identifies the group whose head the target is. */
  readonly groupKey: string | undefined;
  readonly isSameDomain: boolean;
  /** Number of concurrent requests that the target accepts from all daemons together. */
  readonly slots: number;
  /** Time between two events, or to a complete response, of a healthy target. */
  readonly expectedMs: number;
  /** Requests that the other daemons have in progress there, by their latest reports. */
  readonly otherInFlight: number;
  readonly stats: TargetStats;
  /** Whether the target is expected to have a free place, where that is known better than from the counts. */
  readonly hasPlace?: boolean;
  /** Requests per second that the target accepts from all daemons together; undefined without a limit. */
  readonly limitPerSecond?: number | undefined;
  /** Defined while the target is cold: the most requests that it may get within one second. */
  readonly coldMaxInSecond?: number | undefined;
  /** The part of the target's warm-up that is left, from 1 at its start to 0. */
  readonly warmUpRemaining?: number | undefined;
  /** Until when the target wants nothing from this daemon; undefined if it has not said so. */
  readonly pausedUntilMs?: number | undefined;
  /** Whether this is another daemon, which serves the request for this one. */
  readonly isDaemon?: boolean;
  /** Number of targets on which another daemon may run the request. */
  readonly remainingRuns?: number;
}

/** Inputs of a choice other than the candidates. */
export interface ChoiceOptions {
  readonly nowMs: number;
  readonly random: () => number;
}

/** Excess in mean cost of the local failure domain over the others up to which all requests stay local. */
const crossDomainMargin = 0.15;
/** Increase of the probability that a request leaves its failure domain, per unit of cost above the margin. */
const crossDomainSlope = 4;
/** Cost of a failure rate of 1; a full target of normal speed costs 1. */
const failurePenalty = 6;
/** Added cost of a target that starts just now; it decreases until the end of the warm-up. */
const warmUpPenalty = 0.5;
/** Above this cost a target answers noticeably later, so that a cold one with few requests is as good. */
const maxTimelyCost = 0.7;
/** A target counts as slow only when its times exceed the expected ones by more than this factor. */
const slownessTolerance = 1.6;
/**
 * Strength of the preference for cheaper targets when this daemon sends few of all requests. Its view of the
 * other daemons' requests is about as old as a stream is long, so if every daemon took the cheapest target, they
 * would fill it before they learn of each other's requests.
 */
const minPreference = 2;
/** Added strength of the preference when this daemon sends all requests itself. */
const exclusivePreference = 240;
/** A target counts as full with this many free slots, since another daemon may be taking them. */
const reservedSlots = 1;

/** Reports whether a target has started so lately that slow answers say nothing about it. */
export const isWarmingUp = ({ warmUpRemaining = 0 }: Candidate): boolean => warmUpRemaining > 0;

const slownessOf = (candidate: Candidate): number => {
  const { stats, expectedMs } = candidate;
  if (isWarmingUp(candidate)) return 1;
  const observedMs = stats.gapMs ?? stats.responseMs;
  if (observedMs === undefined) return 1;
  return Math.max(1, observedMs / (expectedMs * slownessTolerance));
};

/** Returns the fraction of a target's slots in use once one more request is sent to it. */
export const utilizationOf = ({ stats, otherInFlight, slots }: Candidate): number =>
  (stats.inFlight + otherInFlight + 1) / slots;

/** Reports whether a target can start one more request without queueing it. */
export const hasFreeSlot = ({ stats, otherInFlight, slots, hasPlace }: Candidate): boolean =>
  hasPlace ?? stats.inFlight + otherInFlight < slots - reservedSlots;

const costOf = (candidate: Candidate): number => {
  const slowness = slownessOf(candidate);
  return (
    utilizationOf(candidate) * slowness +
    (slowness - 1) +
    candidate.stats.failureRate * failurePenalty +
    (candidate.warmUpRemaining ?? 0) * warmUpPenalty
  );
};

/** Reports whether a target is cold. */
export const isCold = ({ coldMaxInSecond }: Candidate): boolean => coldMaxInSecond !== undefined;

/** Reports whether a target that isn't cold can take a request at once and answer in its usual time. */
const isTimely = (candidate: Candidate, nowMs: number): boolean =>
  !isCold(candidate) &&
  candidate.limitPerSecond === undefined &&
  candidate.stats.avoidUntilMs <= nowMs &&
  hasFreeSlot(candidate) &&
  costOf(candidate) <= maxTimelyCost;

/** Leaves out the cold targets if another one can take a request in time. */
export const preferWarm = (
  candidates: readonly Candidate[],
  nowMs: number,
): readonly Candidate[] => {
  if (!candidates.some(isCold) || !candidates.some((candidate) => isTimely(candidate, nowMs)))
    return candidates;
  return candidates.filter((candidate) => !isCold(candidate));
};

const meanCost = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, candidate) => sum + costOf(candidate), 0) / candidates.length;

/** Keeps a request in its failure domain unless that domain costs more than the others by the margin. */
const filterByDomain = (
  candidates: readonly Candidate[],
  { random }: ChoiceOptions,
): readonly Candidate[] => {
  const local = candidates.filter(({ isSameDomain }) => isSameDomain);
  const remote = candidates.filter(({ isSameDomain }) => !isSameDomain);
  if (local.length === 0 || remote.length === 0) return candidates;
  const excess = meanCost(local) - meanCost(remote) - crossDomainMargin;
  return random() < excess * crossDomainSlope ? remote : local;
};

/** Returns the strength of the preference for cheaper targets; it grows with this daemon's share of the load. */
const preferenceFor = (candidates: readonly Candidate[]): number => {
  const ownCount = candidates.reduce((sum, { stats }) => sum + stats.inFlight, 0);
  const otherCount = candidates.reduce((sum, { otherInFlight }) => sum + otherInFlight, 0);
  const ownShare = ownCount / Math.max(1, ownCount + otherCount);
  return minPreference + exclusivePreference * ownShare ** 2;
};

/** Selects a target at random, with exponentially lower weights for higher costs. */
const drawByCost = (
  candidates: readonly Candidate[],
  { random }: ChoiceOptions,
): Candidate | undefined => {
  const preference = preferenceFor(candidates);
  const weights = candidates.map((candidate) => Math.exp(-preference * costOf(candidate)));
  let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0);
  const drawn = candidates.find((_, index) => {
    remaining -= weights[index]!;
    return remaining < 0;
  });
  return drawn ?? candidates.at(-1);
};

/**
 * Selects the target of a request at random, weighted by load, speed, failure rate and failure domain. Targets to
 * be avoided are chosen only when there is no other, full ones only when all are full.
 *
 * Designed for many daemons that each send few requests and learn of each other's load with a delay, and for
 * some slow or failing targets. It does not limit the load of a target.
 */
export const chooseTarget = (
  candidates: readonly Candidate[],
  options: ChoiceOptions,
): Candidate | undefined => {
  const available = candidates.filter(({ stats }) => stats.avoidUntilMs <= options.nowMs);
  const considered = available.length > 0 ? available : candidates;
  const preferred = [
    filterByDomain(considered, options).filter(hasFreeSlot),
    considered.filter(hasFreeSlot),
    considered,
  ].find((choice) => choice.length > 0);
  return drawByCost(preferred ?? [], options);
};
