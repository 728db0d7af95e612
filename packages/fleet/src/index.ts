export type {
  CallerLimits,
  ColdStart,
  Customer,
  EngineCosts,
  EngineProfile,
  Route,
  RouteKind,
  ServedModel,
  Service,
  ServiceShare,
  TrafficPlan,
} from './TrafficPlan';
export { runKeyOf, type GroupMembership, type MembershipState, type Target } from './Target';
export { formatGroupName, groupKeyOf, groupsOf, type Group, type GroupMember } from './Group';
export { findRoute } from './findRoute';
export {
  createPlanTracker,
  type PlanConfirmation,
  type PlanTracker,
  type PlanTrackerOptions,
  type PlanSource,
  type SharedPlan,
} from './createPlanTracker';
export {
  createTargetList,
  type ListCursor,
  type SharedTarget,
  type SharedTargets,
  type TargetList,
  type TargetListOptions,
  type TargetSource,
} from './createTargetList';
export {
  createFleetStateExchange,
  type FleetStateExchange,
  type FleetStateExchangeOptions,
} from './createFleetStateExchange';
export type { Evacuations } from './Evacuations';
export {
  createEvacuationTracker,
  type EvacuationSource,
  type EvacuationTracker,
  type EvacuationTrackerOptions,
  type SharedEvacuations,
} from './createEvacuationTracker';
export { createEvacuationExchange, type EvacuationExchange } from './createEvacuationExchange';
export { noEvacuations } from './noEvacuations';
export { registrationGraceMs } from './registrationGraceMs';
