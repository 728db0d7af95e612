export type { Lifecycle, Component } from './createLifecycle';
export { createLifecycle } from './createLifecycle';
export { listen } from './listen';
