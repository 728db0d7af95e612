import type * as clock from '@comfreydrum/clock';
import {
  toHolderResponse,
  abandonGrant,
  dispatchGrant,
  type GrantOutcome,
  type GrantState,
  type HolderResponse,
} from './GrantState';

interface GrantRecord {
  readonly startedAtMs: number;
  readonly state: GrantState;
}

/** The claims of one incarnation of a daemon, from their start until their outcome is recorded. */
export interface GrantRegistry {
  readonly open: (claimId: string) => void;
  /** Consumes the right to dispatch; returns true at most once per claim, and never after it has ended. */
  readonly tryDispatch: (claimId: string) => boolean;
  /** Abandons a claim unless its grant was taken. */
  readonly abandon: (claimId: string) => void;
  readonly end: (claimId: string, outcome: GrantOutcome) => void;
  /** Removes a claim whose outcome the ledger has recorded. */
  readonly remove: (claimId: string) => void;
  /** Returns the holder's answer for a claim; one without a record can't be dispatched. */
  readonly holderResponse: (claimId: string) => HolderResponse;
  readonly has: (claimId: string) => boolean;
  readonly size: () => number;
}

/** Creates an empty registry; a grant expires if not taken within `grantLifetimeMs` of its claim. */
export const createGrantRegistry = (
  clockSource: clock.Clock,
  grantLifetimeMs: number,
): GrantRegistry => {
  const records = new Map<string, GrantRecord>();

  const hasExpired = ({ startedAtMs, state }: GrantRecord): boolean =>
    state.kind === 'open' && clockSource.monotonicMs() - startedAtMs > grantLifetimeMs;

  const find = (claimId: string): GrantRecord | undefined => {
    const record = records.get(claimId);
    if (!record || !hasExpired(record)) return record;
    records.delete(claimId);
    return undefined;
  };

  const setState = (claimId: string, state: GrantState) => {
    const startedAtMs = records.get(claimId)?.startedAtMs ?? clockSource.monotonicMs();
    records.set(claimId, { startedAtMs, state });
  };

  const removeExpired = () => {
    for (const [claimId, record] of records) {
      if (record.state.kind !== 'open') continue;
      if (!hasExpired(record)) return;
      records.delete(claimId);
    }
  };

  return {
    open: (claimId) => {
      removeExpired();
      setState(claimId, { kind: 'open' });
    },
    tryDispatch: (claimId) => {
      const taken = dispatchGrant(find(claimId)?.state);
      if (taken) setState(claimId, taken);
      return taken !== undefined;
    },
    abandon: (claimId) => {
      if (!abandonGrant(find(claimId)?.state)) records.delete(claimId);
    },
    end: (claimId, outcome) => setState(claimId, { kind: 'ended', outcome }),
    remove: (claimId) => {
      records.delete(claimId);
    },
    holderResponse: (claimId) => toHolderResponse(find(claimId)?.state),
    has: (claimId) => find(claimId) !== undefined,
    size: () => records.size,
  };
};
