import type * as fleet from '@comfreydrum/fleet';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type { DurationEstimates } from './createDurationEstimates';

interface StopDependencies {
  readonly drain: Pick<lifecycle.DrainPeriod, 'remainingMs' | 'wasNoticeOver'>;
  readonly durations: Pick<DurationEstimates, 'upperMs'>;
}

/** A request that has not started. */
interface StopRequest {
  readonly route: fleet.Route;
  /** When it had arrived with its whole body. */
  readonly receivedAtMs: number;
  /** Time until the deadline of the request. */
  readonly timeLimitMs: number;
}

/**
 * Returns whether a request may start although the daemon has to stop. In the notice period, in which callers find other
 * daemons, it is expected to end in time if others of its route do. One that came later must be certain to.
 */
export const canEndBeforeStop = (
  { drain, durations }: StopDependencies,
  { route, receivedAtMs, timeLimitMs }: StopRequest,
): boolean => {
  const neededMs = drain.wasNoticeOver(receivedAtMs)
    ? timeLimitMs
    : Math.min(durations.upperMs(route.name) ?? 0, timeLimitMs);
  return neededMs <= drain.remainingMs();
};
