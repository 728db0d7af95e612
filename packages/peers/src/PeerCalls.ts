import type * as errors from '@comfreydrum/errors';

/**
 * Why a call to a peer failed.
 *
 * - `refused`: no process listens at the address.
 * - `unreachable`: the call was never sent, as no connection to the address was established.
 * - `timeout`: no valid response arrived; the peer may have handled the call.
 * - `rejected`: the peer returned an error, or a response that is not valid JSON-RPC.
 */
export type PeerFailure = errors.Failure<'refused' | 'unreachable' | 'timeout' | 'rejected'>;

/** JSON-RPC calls between daemons. */
export interface PeerCalls {
  /** Calls a method of the daemon at `address`. */
  readonly call: (
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ) => Promise<errors.Result<unknown, PeerFailure>>;
  /** Registers the handler of a method; throws if the method already has one. */
  readonly handle: (
    method: string,
    handler: (params: unknown, callerId: string) => Promise<unknown>,
  ) => void;
}
