import * as routing from '@comfreydrum/routing';
import type { Candidate } from './SlotPool';

/** The latency targets that the concurrency limits of the candidates are adjusted to. */
export interface TokenTargets {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}

/** The concurrency limiters of the candidates of one pool. */
export interface Limiters {
  readonly of: (candidate: Candidate) => routing.ConcurrencyLimiter;
  /** Removes the limiters of candidates that are not in the list. */
  readonly retain: (candidates: readonly Candidate[]) => void;
}

interface CachedLimiter {
  readonly generation: number;
  readonly limiter: routing.ConcurrencyLimiter;
}

/** Creates the limiters of a pool, each on first use. A new generation of a candidate gets a new limiter. */
export const createLimiters = (targets: TokenTargets): Limiters => {
  const limiters = new Map<string, CachedLimiter>();

  const create = ({ id, generation, maxConcurrent }: Candidate): CachedLimiter => {
    const limiter = routing.createConcurrencyLimiter({
      maxConcurrent,
      firstTokenTargetMs: targets.firstTokenMs,
      betweenTokensTargetMs: targets.betweenTokensMs,
    });
    const cached = { generation, limiter };
    limiters.set(id, cached);
    return cached;
  };

  return {
    of: (candidate) => {
      const known = limiters.get(candidate.id);
      const isCurrent = known?.generation === candidate.generation;
      const { limiter } = isCurrent ? known : create(candidate);
      limiter.setMaxConcurrent(candidate.maxConcurrent);
      return limiter;
    },
    retain: (candidates) => {
      // Every candidate has a limiter, so equal counts mean that no limiter is stale.
      if (limiters.size === candidates.length) return;
      const ids = new Set(candidates.map(({ id }) => id));
      [...limiters.keys()].filter((id) => !ids.has(id)).forEach((id) => limiters.delete(id));
    },
  };
};
