import type { RouteQuestion } from './RouteStrategy';
import type { Candidate } from './Router';

const maxDraws = 8;

/** Returns a random candidate that was neither tried nor excluded; undefined if none is left. */
export const drawCandidate = (
  { candidates, request, random }: RouteQuestion,
  drawn?: Candidate,
): Candidate | undefined => {
  if (candidates.length === 0) return undefined;
  const isLeft = (candidate: Candidate) =>
    candidate !== drawn && !request.triedIds.has(candidate.id);
  for (let draw = 0; draw < maxDraws; draw += 1) {
    const candidate = candidates[random.index(candidates.length)]!;
    if (isLeft(candidate)) return candidate;
  }
  const left = candidates.filter(isLeft);
  return left.length > 0 ? left[random.index(left.length)] : undefined;
};
