export type { Lifecycle, Component } from './createLifecycle';
export { createLifecycle } from './createLifecycle';
export { createAcceptQueue, type AcceptQueue } from './createAcceptQueue';
export {
  createDrainPeriod,
  type DrainPeriod,
  type DrainPeriodOptions,
  type EndWatch,
} from './createDrainPeriod';
export { listen } from './listen';
export { pollConnections } from './pollConnections';
