import type * as clock from '@comfreydrum/clock';
import type { PlacementAction, PlacementPolicy, PlacementState } from './placement/PlacementPolicy';

/** Caches the decision of the placement policy, which covers all fabric domains. */
export interface DecisionCache {
  readonly actionsOf: (fabricDomain: string) => readonly PlacementAction[];
  /** Discards the cached decision after its inputs have changed. */
  readonly invalidate: () => void;
}

/** How long a cached decision is valid. */
const decisionLifetimeMs = 150;

/** Creates a cache of the decisions that `policy` makes on the result of `readState`. */
export const createDecisionCache = (
  system: clock.Clock,
  policy: PlacementPolicy,
  readState: () => PlacementState,
): DecisionCache => {
  let actions: readonly PlacementAction[] = [];
  let decidedAtMs = -Infinity;

  return {
    actionsOf: (fabricDomain) => {
      const nowMs = system.monotonicMs();
      if (nowMs - decidedAtMs >= decisionLifetimeMs) {
        actions = policy.decide(readState());
        decidedAtMs = nowMs;
      }
      return actions.filter((action) => action.fabricDomain === fabricDomain);
    },
    invalidate: () => {
      decidedAtMs = -Infinity;
    },
  };
};
