import { drawCandidate } from './drawCandidate';
import type { RouteQuestion, RouteStrategy } from './RouteStrategy';
import type { Candidate } from './Router';

/** Selects an untried target at random. */
export class RandomStrategy implements RouteStrategy {
  readonly name = 'random';

  // eslint-disable-next-line class-methods-use-this -- the strategy is stateless
  choose(context: RouteQuestion): Candidate | undefined {
    return drawCandidate(context);
  }
}
