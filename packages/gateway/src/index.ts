export { createGateway, type Gateway } from './createGateway';
export type { GatewayDependencies } from './GatewayDependencies';
export { createUnknownResolver, type UnknownResolverOptions } from './createUnknownResolver';
export type { FleetLink, FleetUpdate } from './FleetLink';
