export type { Lifecycle, Part } from './createLifecycle';
export { createLifecycle } from './createLifecycle';
export { listen } from './listen';
