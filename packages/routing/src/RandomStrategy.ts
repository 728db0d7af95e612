import { pickRandomCandidate } from './pickRandomCandidate';
import type { RouteContext, RouteStrategy } from './RouteStrategy';
import type { Candidate } from './Router';

/** Selects an untried target at random. */
export class RandomStrategy implements RouteStrategy {
  readonly name = 'random';

  // eslint-disable-next-line class-methods-use-this -- the strategy is stateless
  choose(context: RouteContext): Candidate | undefined {
    return pickRandomCandidate(context);
  }
}
