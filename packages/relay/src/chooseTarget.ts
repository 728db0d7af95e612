import type { TargetEvidence } from './createTargetBoard';

/** A target that may take a request. */
export interface Candidate {
  /** Names the run of the target. */
  readonly key: string;
  readonly targetId: string;
  readonly address: string;
  /** Names the group that the target heads. */
  readonly groupKey: string | undefined;
  readonly isSameDomain: boolean;
  /** How many requests it runs at once, for all daemons. */
  readonly slots: number;
  /** How long it takes between two events, or to an answer, when all is well. */
  readonly expectedMs: number;
  /** How many requests all other daemons have in progress there, as far as they told. */
  readonly otherInFlight: number;
  readonly evidence: TargetEvidence;
}

/** What a choice depends on beside the candidates. */
export interface ChoiceOptions {
  readonly nowMs: number;
  readonly random: () => number;
}

/** How much fuller the own failure domain may be than the others before requests leave it, in dependencies of their places. */
const crossDomainMargin = 0.15;
/** How much likelier a request leaves its failure domain with each part by which that one is fuller. */
const crossDomainSlope = 4;
/** A target that fails everything costs as much as one with this many times its load. */
const failurePenalty = 6;
/** Times that differ less than this from the expected ones are no evidence of a slow target. */
const slownessTolerance = 1.6;
/**
 * How strongly a choice prefers the cheaper target when this daemon sends few of all requests. What it knows of
 * the others' is about as old as a stream is long, so daemons that all took the cheapest one would fill it before
 * they hear of each other.
 */
const minPreference = 2;
/** How much stronger the preference of a daemon is that sends all requests itself. */
const exclusivePreference = 240;
/** A target counts as full with this many places left: another daemon may just be taking it. */
const reservedSlots = 1;

const slownessOf = ({ evidence: stats, expectedMs }: Candidate): number => {
  const observedMs = stats.gapMs ?? stats.answerMs;
  if (observedMs === undefined) return 1;
  return Math.max(1, observedMs / (expectedMs * slownessTolerance));
};

/** Gives the part of its places that a target has in use, once one more request is there. */
export const loadOf = ({ evidence: stats, otherInFlight, slots }: Candidate): number =>
  (stats.inFlight + otherInFlight + 1) / slots;

/** Tells whether a target takes one more request without making it wait. */
export const hasPlace = ({ evidence: stats, otherInFlight, slots }: Candidate): boolean =>
  stats.inFlight + otherInFlight < slots - reservedSlots;

const costOf = (candidate: Candidate): number => {
  const slowness = slownessOf(candidate);
  return (
    loadOf(candidate) * slowness + (slowness - 1) + candidate.evidence.failureShare * failurePenalty
  );
};

const meanCost = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, candidate) => sum + costOf(candidate), 0) / candidates.length;

/** Keeps a request in its failure domain as long as that one is not fuller than the others. */
const filterByDomain = (
  candidates: readonly Candidate[],
  { random }: ChoiceOptions,
): readonly Candidate[] => {
  const near = candidates.filter(({ isSameDomain }) => isSameDomain);
  const far = candidates.filter(({ isSameDomain }) => !isSameDomain);
  if (near.length === 0 || far.length === 0) return candidates;
  const excess = meanCost(near) - meanCost(far) - crossDomainMargin;
  return random() < excess * crossDomainSlope ? far : near;
};

/** Prefers the cheaper target the more strongly, the more of the requests in progress are this daemon's own. */
const preferenceFor = (candidates: readonly Candidate[]): number => {
  const ownCount = candidates.reduce((sum, { evidence: stats }) => sum + stats.inFlight, 0);
  const otherCount = candidates.reduce((sum, { otherInFlight }) => sum + otherInFlight, 0);
  const ownShare = ownCount / Math.max(1, ownCount + otherCount);
  return minPreference + exclusivePreference * ownShare ** 2;
};

/** Draws a target, the likelier the less it costs. */
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
 * Draws the target of a request: little load, the usual pace, few failures, the own failure domain. Targets to
 * be avoided are chosen only when there is no other, full ones only when all are.
 *
 * Answers the load of many daemons that each bring few requests and hear of each other late, with some slow
 * and failing targets; it does not bound the load.
 */
export const chooseTarget = (
  candidates: readonly Candidate[],
  options: ChoiceOptions,
): Candidate | undefined => {
  const available = candidates.filter(({ evidence: stats }) => stats.avoidUntilMs <= options.nowMs);
  const considered = available.length > 0 ? available : candidates;
  const preferred = [
    filterByDomain(considered, options).filter(hasPlace),
    considered.filter(hasPlace),
    considered,
  ].find((choice) => choice.length > 0);
  return drawByCost(preferred ?? [], options);
};
