import type { RouteContext, RouteStrategy } from './RouteStrategy';
import type { Candidate } from './Router';

/** Selects the targets in turn, skipping those already tried. */
export class RoundRobinStrategy implements RouteStrategy {
  readonly name = 'round-robin';

  private nextIndex = 0;

  choose({ candidates, request }: RouteContext): Candidate | undefined {
    for (let step = 0; step < candidates.length; step += 1) {
      const candidate = candidates[this.nextIndex % candidates.length]!;
      this.nextIndex += 1;
      if (!request.triedIds.has(candidate.id)) return candidate;
    }
    return undefined;
  }
}
