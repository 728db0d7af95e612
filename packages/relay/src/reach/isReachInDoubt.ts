import type { Candidate } from '../chooseTarget';

/** A target that has delivered nothing for this long, though requests wait for it, may be out of reach. */
const silenceMs = 400;
/** A failed connection proves nothing after this time. */
const failureValidityMs = 3_000;
/** A single target may be gone or silent for reasons of its own. */
const minTargets = 2;

/**
 * Reports whether this daemon may have lost its links to all targets of a service: no target has delivered anything for
 * a while, though several have requests or failed connections of this daemon.
 */
export const isReachInDoubt = (candidates: readonly Candidate[], nowMs: number): boolean => {
  const lastProgressAtMs = Math.max(...candidates.map(({ stats }) => stats.lastProgressAtMs));
  const neededCount = Math.max(1, Math.min(minTargets, candidates.length));
  const silent = candidates.filter(
    ({ stats: { silentSinceMs = nowMs } }) => nowMs - silentSinceMs >= silenceMs,
  );
  if (nowMs - lastProgressAtMs >= silenceMs && silent.length >= neededCount) return true;
  const failed = candidates.filter(
    ({ stats: { unreachedAtMs } }) =>
      unreachedAtMs > lastProgressAtMs && nowMs - unreachedAtMs < failureValidityMs,
  );
  return failed.length >= neededCount;
};
