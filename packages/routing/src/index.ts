export type {
  AdmissionDecision,
  AdmissionQueue,
  AdmissionRefusal,
  AdmissionRequest,
  AdmissionSnapshot,
  Priority,
  RefusalReason,
} from './AdmissionQueue';
export { createAdmissionQueue, type AdmissionQueueOptions } from './createAdmissionQueue';
export {
  createConcurrencyLimiter,
  type ConcurrencyLimiter,
  type ConcurrencyLimiterOptions,
} from './createConcurrencyLimiter';
export {
  createCustomerLimiter,
  type CustomerDemandUpdate,
  type CustomerLimiter,
  type CustomerLimits,
  type LimitDecision,
} from './createCustomerLimiter';
export { defaultUpdateLifetimeMs, type DemandSharesOptions } from './createDemandShares';
export {
  createLookupCache,
  type LookupCache,
  type LookupCacheOptions,
  type LookupDecision,
  type LookupFlight,
  type LookupKey,
} from './createLookupCache';
export {
  createPrefixHasher,
  type PrefixHasher,
  type PrefixHasherOptions,
} from './createPrefixHasher';
export { createPrefixIndex, type PrefixIndex } from './createPrefixIndex';
export { createPartQuarantine, type PartQuarantineOptions } from './createPartQuarantine';
export type { PartQuarantine, PartStatus } from './PartQuarantine';
export { createQuarantine, type QuarantineOptions } from './createQuarantine';
export { createRandom, type Random } from './createRandom';
export {
  createRetryBudget,
  type RetryBudget,
  type RetryBudgetOptions,
  type RetryDecision,
  type RetryRequest,
} from './createRetryBudget';
export { createRouter, type RouterOptions } from './createRouter';
export {
  createSuspectPermits,
  permitLeaseMs,
  type PermitDecision,
  type PermitRequest,
  type SuspectPermits,
} from './createSuspectPermits';
export { createTargetStates, type TargetStates, type TargetView } from './createTargetStates';
export { IndependentLossAttribution } from './IndependentLossAttribution';
export { LeadingSuspectAttribution } from './LeadingSuspectAttribution';
export { LeastInFlightStrategy } from './LeastInFlightStrategy';
export type { LossAssessment, LossAttribution, LossRecord, RecordedLoss } from './LossAttribution';
export { PredictedFirstTokenStrategy, type DomainCost } from './PredictedFirstTokenStrategy';
export {
  targetKeyOf,
  type ClearedUpdate,
  type CrashTarget,
  type LossUpdate,
  type RequestParts,
  type Quarantine,
  type QuarantineUpdate,
  type QuarantineStatus,
  type VerdictUpdate,
} from './Quarantine';
export {
  crashTargetSchema,
  lossUpdateSchema,
  quarantineUpdateSchema,
} from './quarantineUpdateSchema';
export { RandomStrategy } from './RandomStrategy';
export { RoundRobinStrategy } from './RoundRobinStrategy';
export type { RouteContext, RouteStrategy } from './RouteStrategy';
export { concurrencyPerDaemon } from './concurrencyPerDaemon';
export type { CacheEvent, Candidate, LoadReport, RouteRequest, Router } from './Router';
export {
  createOutputEstimates,
  type OutputClaim,
  type OutputEstimates,
  type OutputEstimatesOptions,
} from './createOutputEstimates';
export { createSpeedEstimates, type SpeedEstimates } from './createSpeedEstimates';
export { createTargetWork, type RemainingWork, type TargetWork } from './createTargetWork';
export {
  createWaitQueue,
  type WaitDecision,
  type WaitQueue,
  type WaitQueueOptions,
  type WaitRefusal,
  type WaitRequest,
  type WaitRoom,
} from './createWaitQueue';
export type { EngineTimes } from './EngineTimes';
export {
  placeRequest,
  type Placement,
  type PlacementCandidate,
  type PlacementRequest,
} from './placeRequest';
export {
  durationMsAt,
  firstEventMsAt,
  maxBatchOf,
  passMsAt,
  predictRequestCost,
  type MeanCost,
  type RequestCost,
  type RequestTokens,
} from './predictRequestCost';
