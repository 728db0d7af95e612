/**
 * A source of time.
 *
 * Durations and deadlines use the monotonic clock, which is unaffected by adjustments of the system
 * time. The wall clock is only for display and for the timestamps of timeline events.
 */
export interface Clock {
  readonly wallMs: () => number;
  readonly monotonicMs: () => number;
}
