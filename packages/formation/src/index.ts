export type {
  CloseMode,
  FencedOrder,
  GroupRef,
  JoinOrder,
  OrderOutcome,
  ProbeFailure,
  TargetOrders,
  TargetReport,
} from './TargetOrders';
export type { FormationStep } from './FormationStep';
export { assignModels, type FabricDomain } from './assignModels';
export { evaluateGroup, type GroupContext, type GroupCondition } from './evaluateGroup';
export type { DomainConversion, MixGain } from './decideMix';
export type { DemandSecond, ModelDemand } from './DemandSecond';
export { planFormation, type FormationInput } from './planFormation';
export {
  createLease,
  type Lease,
  type LeaseOptions,
  type CheckInPayload,
  type LeaseState,
  type TargetLoads,
} from './createLease';
export {
  createFormation,
  type Formation,
  type FormationOptions,
  type Suspicion,
} from './createFormation';
