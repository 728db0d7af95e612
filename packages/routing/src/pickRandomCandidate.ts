import type { RouteContext } from './RouteStrategy';
import type { Candidate } from './Router';

const maxAttempts = 8;

/** Returns a random candidate that was neither tried nor excluded; undefined if none is left. */
export const pickRandomCandidate = (
  { candidates, request, random }: RouteContext,
  excluded?: Candidate,
): Candidate | undefined => {
  if (candidates.length === 0) return undefined;
  const isEligible = (candidate: Candidate) =>
    candidate !== excluded && !request.triedIds.has(candidate.id);
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const candidate = candidates[random.index(candidates.length)]!;
    if (isEligible(candidate)) return candidate;
  }
  const eligible = candidates.filter(isEligible);
  return eligible.length > 0 ? eligible[random.index(eligible.length)] : undefined;
};
