export type { Clock } from './Clock';
export { createSystemClock } from './createSystemClock';
export { createManualClock, type ManualClock } from './createManualClock';
export {
  createHybridClock,
  compareHybridTimes,
  type HybridClock,
  type HybridTime,
} from './createHybridClock';
export { readTimestamp, maxElapsedMs, subtractDuration, type Timestamp } from './Timestamp';
export { createAttentiveDeadline, createDeadline, type Deadline } from './createDeadline';
