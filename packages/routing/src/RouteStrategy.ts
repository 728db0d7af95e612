import type { Random } from './createRandom';
import type { TargetView } from './createTargetStates';
import type { Candidate, RouteRequest } from './Router';

/** The inputs of a target selection. */
export interface RouteContext {
  readonly candidates: readonly Candidate[];
  readonly candidateById: ReadonlyMap<string, Candidate>;
  readonly request: RouteRequest;
  readonly targets: TargetView;
  readonly random: Random;
  readonly nowMs: number;
}

/** An algorithm that selects a target. */
export interface RouteStrategy {
  readonly name: string;
  /** Returns the selected target; undefined if every candidate was tried. */
  readonly choose: (context: RouteContext) => Candidate | undefined;
}
