export type {
  CloseMode,
  Fence,
  GroupRef,
  JoinOrder,
  OrderOutcome,
  ProbeFailure,
  TargetOrders,
  TargetReport,
} from './TargetOrders';
export type { FormationStep } from './FormationStep';
export { assignModels, type FabricDomain } from './assignModels';
export { judgeGroup, type GroupKnowledge, type GroupVerdict } from './judgeGroup';
export { planFormation, type FormationView } from './planFormation';
export {
  createLease,
  type Lease,
  type LeaseOptions,
  type LeaseNews,
  type LeaseState,
  type Loads,
} from './createLease';
export {
  createFormation,
  type Formation,
  type FormationOptions,
  type Suspicion,
} from './createFormation';
