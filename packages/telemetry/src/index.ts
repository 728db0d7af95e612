export {
  createBufferedLog,
  createLog,
  setLogLevel,
  type BufferedLog,
  type Log,
  type LogOptions,
} from './createLog';
export { createMetrics, type Metrics, type Histogram, type Counter } from './createMetrics';
export {
  createTimeline,
  type Timeline,
  type TimelineEvent,
  type TimelineDetail,
} from './createTimeline';
export { createProcessLoad, type LoadReading, type ProcessLoad } from './createProcessLoad';
export { createTlsFailureCounter } from './createTlsFailureCounter';
export { mergeTimelines } from './mergeTimelines';
export { toTraceEvents } from './toTraceEvents';
