export type {
  CallerLimits,
  Customer,
  EngineProfile,
  Route,
  RouteKind,
  ServedModel,
  Service,
  ServiceShare,
  TrafficPlan,
} from './TrafficPlan';
export { runKeyOf, type GroupMembership, type MembershipState, type Target } from './Target';
export { formGroupName, groupKeyOf, groupsOf, type Group, type GroupMember } from './Group';
export { findRoute } from './findRoute';
export {
  createPlanKeeper,
  type PlanKeeper,
  type PlanKeeperOptions,
  type PlanSource,
  type SharedPlan,
} from './createPlanKeeper';
export {
  createTargetList,
  type ListCursor,
  type SharedTarget,
  type SharedTargets,
  type TargetList,
  type TargetListOptions,
  type TargetSource,
} from './createTargetList';
export { createFleetNews, type FleetNews, type FleetNewsOptions } from './createFleetNews';
