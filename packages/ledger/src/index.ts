export { addLedgerMetrics } from './addLedgerMetrics';
export type {
  ClaimDecision,
  ClaimRequest,
  Grant,
  StoredResponse,
  Ledger,
  RunOutcome,
} from './Ledger';
export { createLedger, type LedgerComponent, type LedgerOptions } from './createLedger';
export type { LedgerAdmin, LedgerAdminFailure, UnknownClaim } from './createLedgerAdmin';
export type { ResolveUnknown, TargetOutcome } from './createClaimFlow';
export { ledgerSettingsSchema, type LedgerSettings } from './ledgerSettings';
export type { LedgerStatistics } from './LedgerStatistics';
