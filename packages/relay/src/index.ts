export type {
  CallerRequest,
  CallerWire,
  Handover,
  HandoverRequest,
  RequestSize,
} from './CallerRequest';
export type { ResponseMetadata, Dispatch, TargetWire } from './TargetWire';
export type { FailureReporter, LossConfirmation } from './RelayDependencies';
export type { LimitOptions } from './limits/createTargetLimits';
export type { NamedLimit } from './limits/NamedLimit';
export { endToEndHeaders } from './endToEndHeaders';
export type { ReachOptions } from './reach/createTargetReach';
export type { SignalOptions } from './signals/createTargetSignals';
export { createRelay, type CrashOptions, type Relay, type RelayOptions } from './createRelay';
