import type { RouteContext, RouteStrategy } from './RouteStrategy';
import type { Candidate } from './Router';

/** Selects a target with the fewest in-flight requests of this process; breaks ties at random. */
export class LeastInFlightStrategy implements RouteStrategy {
  readonly name = 'least-in-flight';

  // eslint-disable-next-line class-methods-use-this -- the strategy is stateless
  choose({ candidates, request, targets, random }: RouteContext): Candidate | undefined {
    const untried = candidates.filter(({ id }) => !request.triedIds.has(id));
    if (untried.length === 0) return undefined;
    const fewest = Math.min(...untried.map(({ id }) => targets.inFlight(id)));
    const best = untried.filter(({ id }) => targets.inFlight(id) === fewest);
    return best[random.index(best.length)];
  }
}
