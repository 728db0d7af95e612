export type { Lifecycle, Component } from './createLifecycle';
export { createLifecycle } from './createLifecycle';
export { createAcceptQueue, type AcceptQueue } from './createAcceptQueue';
export { listen } from './listen';
export { pollConnections } from './pollConnections';
