import { performance } from 'node:perf_hooks';
import type { Clock } from './Clock';

/** Creates a clock that reads the system clocks. */
export const createSystemClock = (): Clock => ({
  wallMs: () => Date.now(),
  monotonicMs: () => performance.now(),
});
