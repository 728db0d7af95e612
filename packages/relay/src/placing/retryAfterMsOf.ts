import type { RelayDependencies } from '../RelayDependencies';
import type { RequestContext } from '../RequestContext';
import { engineTimesOf } from './engineTimesOf';

/** Callers honour no more of the time that they have left. */
const maxFraction = 1 / 3;
const minRetryAfterMs = 50;
/** Spread of the times at which refused callers return. */
const jitter = 0.4;

/**
 * Returns after which time a caller should come back whose request no target took: when this daemon's part of the places
 * is expected to yield one, else after `usualMs`.
 */
export const retryAfterMsOf = (
  { clock, directory, placing, random }: RelayDependencies,
  context: RequestContext,
  usualMs: number,
): number => {
  const { service, request, deadlineAtMs } = context;
  if (engineTimesOf(service, request.modelName) === undefined) return usualMs;
  const nowMs = clock.monotonicMs();
  const candidates = directory.groupHeads(service, request.modelName, nowMs);
  const room = placing.forecast(context, candidates, nowMs)?.room;
  const roomInMs = room === undefined ? usualMs : room.meanHoldMs / room.placeCount;
  const fraction = random();
  const spreadMs = roomInMs * (1 - jitter / 2 + jitter * fraction);
  const maxMs = Math.max(0, deadlineAtMs - nowMs) * maxFraction;
  const honouredMs = maxMs * (1 - jitter * (1 - fraction));
  return Math.min(Math.max(minRetryAfterMs, spreadMs), honouredMs);
};
