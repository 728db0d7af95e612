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

/** The cost of leaving the own failure domain, in parts of a target's load. */
const otherDomainCost = 0.35;
/** A target that fails everything costs as much as one with this many times its load. */
const failureCost = 6;
/** Times that differ less than this from the expected ones are no evidence of a slow target. */
const slownessTolerance = 1.6;
/** Breaks ties between equal targets, so that daemons do not all choose the same. */
const tieBreak = 0.08;

const slownessOf = ({ evidence, expectedMs }: Candidate): number => {
  const seenMs = evidence.gapMs ?? evidence.answerMs;
  if (seenMs === undefined) return 1;
  return Math.max(1, seenMs / (expectedMs * slownessTolerance));
};

/** Gives the part of its places that a target has in use, once one more request is there. */
export const loadOf = ({ evidence, otherInFlight, slots }: Candidate): number =>
  (evidence.inFlight + otherInFlight + 1) / slots;

const costOf = (candidate: Candidate, options: ChoiceOptions): number => {
  const { evidence, isSameDomain } = candidate;
  const slowness = slownessOf(candidate);
  return (
    loadOf(candidate) * slowness +
    (slowness - 1) +
    evidence.failureShare * failureCost +
    (isSameDomain ? 0 : otherDomainCost) +
    options.random() * tieBreak
  );
};

/**
 * Chooses the target at which a request is expected to be served best: little load, the usual pace, few
 * failures, the own failure domain. Targets to be avoided are chosen only when there is no other.
 *
 * Answers the load of a normal day with some slow and failing targets; it does not bound the load.
 */
export const chooseTarget = (
  candidates: readonly Candidate[],
  options: ChoiceOptions,
): Candidate | undefined => {
  const open = candidates.filter(({ evidence }) => evidence.avoidUntilMs <= options.nowMs);
  const considered = open.length > 0 ? open : candidates;
  let best: Candidate | undefined;
  let bestCost = Infinity;
  considered.forEach((candidate) => {
    const cost = costOf(candidate, options);
    if (cost >= bestCost) return;
    best = candidate;
    bestCost = cost;
  });
  return best;
};
