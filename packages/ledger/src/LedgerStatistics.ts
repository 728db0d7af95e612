import type { ClaimDecision } from './Ledger';

/** Counts since the creation of the ledger, and its current sizes. */
export interface LedgerStatistics {
  readonly platformReads: number;
  readonly platformWrites: number;
  readonly writeConflicts: number;
  readonly batches: number;
  readonly batchedOperations: number;
  readonly sealedEntries: number;
  readonly forwardsAnswered: number;
  readonly forwardsFailed: number;
  readonly claims: Readonly<Record<ClaimDecision['kind'], number>>;
  readonly trackedClaims: number;
  readonly pendingOutcomes: number;
  readonly indexBytes: number;
}

type CountName = Exclude<
  keyof LedgerStatistics,
  'claims' | 'trackedClaims' | 'pendingOutcomes' | 'indexBytes'
>;

/** The mutable counts that a ledger maintains. */
export type LedgerCounts = Record<CountName, number> & {
  readonly claims: Record<ClaimDecision['kind'], number>;
};

/** Creates counts that start at zero. */
export const createLedgerCounts = (): LedgerCounts => ({
  platformReads: 0,
  platformWrites: 0,
  writeConflicts: 0,
  batches: 0,
  batchedOperations: 0,
  sealedEntries: 0,
  forwardsAnswered: 0,
  forwardsFailed: 0,
  claims: { granted: 0, running: 0, ran: 0, unknown: 0, 'key-reused': 0, refused: 0 },
});
