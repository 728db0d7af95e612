export { createAdmin } from './createAdmin';
export type { AdminDependencies } from './AdminDependencies';
export type { DaemonStatus, FleetStatus } from './DaemonStatus';
