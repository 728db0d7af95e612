import type { PartLoss } from './PartQuarantine';

const minLosses = 3;
/** A single request that is sent again and again says nothing about its parts. */
const minRequests = 3;
/** From this many losses on, of two parts with about as many, the one in fewer lost requests is quarantined. */
const tieBreakLosses = 5;
/** Two parts have about as many losses if the smaller number is at least this fraction of the larger one. */
const tieFraction = 0.8;
/** A part in fewer lost requests explains a loss better if it has at least this fraction of the losses. */
const rivalFraction = 0.5;

type LossesOf = (partId: string) => readonly PartLoss[];

interface Suspicion {
  readonly lossCount: number;
  /** Number of different lost requests that held the part. */
  readonly requestCount: number;
}

/**
 * Assesses whether a part of prompts must be quarantined: at least three targets were lost with it, under at least
 * three different requests, and there it leads the other parts. A part that many requests share, such as a system
 * prompt, is on every target that another part crashes; it leads only where no part in fewer requests explains the
 * losses.
 */
export const assessPart = (partId: string, lossesOf: LossesOf): boolean => {
  const suspicions = new Map<string, Suspicion>();

  const suspicionOf = (id: string): Suspicion => {
    const known = suspicions.get(id);
    if (known !== undefined) return known;
    const losses = lossesOf(id);
    const requests = new Set(losses.flatMap(({ holders }) => [...(holders.get(id) ?? [])]));
    const suspicion = { lossCount: losses.length, requestCount: requests.size };
    suspicions.set(id, suspicion);
    return suspicion;
  };

  const own = suspicionOf(partId);
  if (own.lossCount < minLosses || own.requestCount < minRequests) return false;

  const isRival = (id: string): boolean => {
    const { lossCount, requestCount } = suspicionOf(id);
    if (requestCount < own.requestCount) return lossCount >= own.lossCount * rivalFraction;
    const isTieBroken =
      own.lossCount >= tieBreakLosses &&
      own.lossCount >= lossCount * tieFraction &&
      requestCount > own.requestCount;
    return lossCount >= own.lossCount && !isTieBroken;
  };

  const leadsAt = ({ holders }: PartLoss) =>
    [...holders.keys()].every((id) => id === partId || !isRival(id));
  return lossesOf(partId).filter(leadsAt).length >= minLosses;
};
