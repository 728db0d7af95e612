import type { Candidate } from '../chooseTarget';
import { isPaused } from './isPaused';

/** Returns the time until the first of the targets takes requests again, if all of them want none now. */
export const findPauseMs = (
  candidates: readonly Candidate[],
  nowMs: number,
): number | undefined => {
  if (candidates.length === 0) return undefined;
  if (!candidates.every((candidate) => isPaused(candidate, nowMs))) return undefined;
  return Math.min(...candidates.map(({ pausedUntilMs = nowMs }) => pausedUntilMs)) - nowMs;
};
