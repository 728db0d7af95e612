import type { StoredResponse } from './Ledger';

/**
 * A holder's answer about one of its own claims.
 *
 * - `running`: the holder waits for the grant, has it, or has dispatched the request.
 * - `never`: the holder has not dispatched the request and can no longer do so.
 * - `ran`, `unknown`: the request ended this way, and the ledger has not recorded it yet.
 */
export type HolderResponse =
  | { readonly kind: 'running' }
  | { readonly kind: 'never' }
  | { readonly kind: 'ran'; readonly answer?: StoredResponse | undefined }
  | { readonly kind: 'unknown' };

/** How a claim has ended. */
export type GrantOutcome = Exclude<HolderResponse, { readonly kind: 'running' }>;

/**
 * The state of a claim at its holder. A claim without a state can't be dispatched: the holder keeps
 * the state from the start of the claim until the claim is abandoned or the ledger has recorded how
 * it ended.
 */
export type GrantState =
  | { readonly kind: 'open' }
  | { readonly kind: 'taken' }
  | { readonly kind: 'ended'; readonly outcome: GrantOutcome };

/** Returns the state after dispatch, or undefined if the request must not be dispatched. */
export const dispatchGrant = (state: GrantState | undefined): GrantState | undefined =>
  state?.kind === 'open' ? { kind: 'taken' } : undefined;

/** Returns the state after the claim is abandoned; a dispatched claim keeps its state. */
export const abandonGrant = (state: GrantState | undefined): GrantState | undefined =>
  state?.kind === 'open' ? undefined : state;

/** Returns the holder's answer for a claim in `state`. */
export const toHolderResponse = (state: GrantState | undefined): HolderResponse => {
  if (!state) return { kind: 'never' };
  return state.kind === 'ended' ? state.outcome : { kind: 'running' };
};
