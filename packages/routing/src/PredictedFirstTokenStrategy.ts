import { pickRandomCandidate } from './pickRandomCandidate';
import type { RouteContext, RouteStrategy } from './RouteStrategy';
import type { Candidate } from './Router';

/** Returns the cost of sending a request to a failure domain, in milliseconds. */
export type DomainCost = (failureDomain: string) => number;

const hashRadix = 16;
const hashDigits = 12;
/**
 * Time added to the estimate of a target whose slots are all in use, so that idle targets are
 * preferred.
 */
const fullLoadPenaltyMs = 200;

/**
 * Selects the target with the lowest expected time to first token among two random candidates, the
 * targets believed to have the prompt's prefix cached, and the target to which the prefix hash
 * maps.
 */
export class PredictedFirstTokenStrategy implements RouteStrategy {
  readonly name = 'predicted-first-token';

  constructor(private readonly domainCost: DomainCost = () => 0) {}

  choose(context: RouteContext): Candidate | undefined {
    const { candidateById, request, targets, nowMs } = context;
    const holders = targets
      .targetsWithLongestPrefix(request, nowMs)
      .map((id) => candidateById.get(id));
    const first = pickRandomCandidate(context);
    const second = pickRandomCandidate(context, first);
    const considered = [
      ...holders,
      PredictedFirstTokenStrategy.hashedCandidate(context),
      first,
      second,
    ];
    let best: Candidate | undefined;
    let bestMs = Infinity;
    considered.forEach((candidate) => {
      if (!candidate || request.triedIds.has(candidate.id)) return;
      const expectedMs = this.expectedFirstTokenMs(candidate, context);
      if (expectedMs >= bestMs) return;
      best = candidate;
      bestMs = expectedMs;
    });
    return best;
  }

  /** Returns the candidate to which every process maps the first block of the prompt. */
  private static hashedCandidate({ candidates, request }: RouteContext): Candidate | undefined {
    const first = request.prefixHashes[0];
    if (first === undefined || candidates.length === 0) return undefined;
    return candidates[parseInt(first.slice(0, hashDigits), hashRadix) % candidates.length];
  }

  private expectedFirstTokenMs(candidate: Candidate, context: RouteContext): number {
    const { request, targets, nowMs } = context;
    const uncachedTokens = targets.uncachedTokens(candidate, request, nowMs);
    const tokens = targets.pendingTokens(candidate.id) + uncachedTokens;
    const inFlight = targets.estimatedInFlight(candidate.id);
    const excess = Math.max(0, inFlight + 1 - candidate.maxConcurrent);
    const slotWaitMs = (excess * targets.meanServiceMs()) / candidate.maxConcurrent;
    const loadMs = fullLoadPenaltyMs * (inFlight / candidate.maxConcurrent) ** 2;
    const workMs = tokens * targets.msPerPromptToken() + slotWaitMs + loadMs;
    return (
      workMs * targets.slowdownFactor(candidate.id, nowMs) +
      this.domainCost(candidate.failureDomain)
    );
  }
}
