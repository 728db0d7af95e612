import type * as fleet from '@comfreydrum/fleet';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type { DurationEstimates } from './createDurationEstimates';
import { isRepeatable } from './isRepeatable';

interface StopDependencies {
  readonly drain: Pick<lifecycle.DrainPeriod, 'remainingMs' | 'wasNoticeOver'>;
  readonly durations: Pick<DurationEstimates, 'upperMs'>;
}

/** A stream goes on for long after its first event, to which the latency target refers. */
const unknownMsOf = ({ kind, latencyTargetMs }: fleet.Route): number =>
  kind === 'stream' ? Infinity : latencyTargetMs;

/** A request that has not started. */
interface StopRequest {
  readonly route: fleet.Route;
  readonly arrivedAtMs: number;
  /** Time until the deadline of the request. */
  readonly timeLimitMs: number;
}

/**
 * Returns whether a request is expected to end before the daemon has to stop. One that came after the notice period, in
 * which callers find other daemons, and may run only once must be certain to.
 */
export const canEndBeforeStop = (
  { drain, durations }: StopDependencies,
  { route, arrivedAtMs, timeLimitMs }: StopRequest,
): boolean => {
  const isNoticeOver = drain.wasNoticeOver(arrivedAtMs);
  const expectedMs = durations.upperMs(route.name) ?? (isNoticeOver ? unknownMsOf(route) : 0);
  const neededMs = isNoticeOver && !isRepeatable(route) ? timeLimitMs : expectedMs;
  return Math.min(neededMs, timeLimitMs) <= drain.remainingMs();
};
