import type * as fleet from '@comfreydrum/fleet';

/** Reports whether a request of a route may run more than once. */
export const isRepeatable = ({ kind, isResumable }: fleet.Route): boolean =>
  kind === 'stream' ? isResumable : kind === 'idempotent';
