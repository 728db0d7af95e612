import type { HolderResponse } from './GrantState';

/**
 * The status of a claim's holder: its answer, or the reason why there is none.
 *
 * - `gone`: that incarnation of the daemon is no longer a member, or a later one responded instead.
 * - `silent`: the holder is a member and did not respond.
 */
export type HolderStatus = HolderResponse | { readonly kind: 'gone' } | { readonly kind: 'silent' };

/**
 * The action that follows from a holder's status.
 *
 * - `running`, `ran`: report this to the caller.
 * - `supersede`: replace the claim by a new one.
 * - `suspect`: treat the outcome as unknown and record that the holder is gone.
 * - `unknown`: treat the outcome as unknown.
 */
export type HolderAction = 'running' | 'ran' | 'supersede' | 'suspect' | 'unknown';

/**
 * Returns the action for a holder's status. Only the holder's own `never` frees a key: a missing answer
 * doesn't prove that the request did not run.
 */
export const chooseHolderAction = ({ kind }: HolderStatus): HolderAction => {
  switch (kind) {
    case 'never':
      return 'supersede';
    case 'gone':
      return 'suspect';
    case 'silent':
      return 'unknown';
    default:
      return kind;
  }
};
