import { setTimeout as delay } from 'node:timers/promises';
import * as clocks from '@comfreydrum/clock';
import { hasFreeSlot, isCold, preferWarm, type Candidate } from '../chooseTarget';
import type { LimitedTarget, SendPermit } from '../limits/createSendSchedule';
import { waitForPlace, type PlaceOutcome } from '../placing/waitForPlace';
import type { RelayDependencies } from '../RelayDependencies';
import type { RequestContext } from '../RequestContext';

/** Why no target can take a request. */
export type SelectionDenial =
  | { readonly reason: 'no-target' }
  | { readonly reason: 'no-slot'; readonly candidate: Candidate }
  /** No place is expected to be free in time. */
  | { readonly reason: 'no-place'; readonly retryAfterMs: number }
  /** All targets that could take the request have reached the limits that they name. */
  | { readonly reason: 'target-limits'; readonly retryAfterMs: number };

/** The target to which a request may be sent now. */
export type Selection =
  | { readonly kind: 'selected'; readonly candidate: Candidate }
  | { readonly kind: 'denied'; readonly denial: SelectionDenial };

export interface SelectionOptions {
  readonly listCandidates: (nowMs: number) => readonly Candidate[];
  readonly needsFreeSlot: boolean;
  /** Whether the request has been sent before; then it waits longer rather than fails. */
  readonly isRetry: boolean;
}

/** Part of the latency target that a request may spend waiting for a target with a limit. */
const maxWaitFraction = 0.5;
const maxRetryWaitMs = 1_000;
/** Time for the request to be sent after the wait. */
const sendBudgetMs = 20;
/** A request that was held up for longer after its wait needs a new permit. */
const permitValidityMs = 500;

/** Cold targets in one call for a permit, so that its size doesn't grow with the number of targets. */
const maxAskedCold = 8;

const isLimited = ({ limitPerSecond }: Candidate): boolean => limitPerSecond !== undefined;

const toLimitedTarget = ({
  key,
  limitPerSecond = 0,
  coldMaxInSecond,
}: Candidate): LimitedTarget => ({
  targetKey: key,
  perSecond: limitPerSecond,
  maxInSecond: coldMaxInSecond,
});

/** Leaves out most cold targets, at random, where there are many. */
const limitCold = (candidates: readonly Candidate[], random: () => number) => {
  const cold = candidates.filter(isCold);
  if (cold.length <= maxAskedCold) return candidates;
  const start = Math.floor(random() * cold.length);
  const asked = [...cold.slice(start), ...cold.slice(0, start)].slice(0, maxAskedCold);
  return [...candidates.filter((candidate) => !isCold(candidate)), ...asked];
};

const select = (candidate: Candidate): Selection => ({ kind: 'selected', candidate });
const deny = (denial: SelectionDenial): Selection => ({ kind: 'denied', denial });

const maxWaitMsOf = (
  { route, arrivedAtMs, deadlineAtMs }: RequestContext,
  { expectedMs }: Candidate,
  nowMs: number,
  isRetry: boolean,
): number => {
  const wantedMs = isRetry
    ? maxRetryWaitMs
    : route.latencyTargetMs * maxWaitFraction - (nowMs - arrivedAtMs);
  return Math.max(0, Math.min(wantedMs, deadlineAtMs - nowMs - expectedMs - sendBudgetMs));
};

/**
 * Selects a target of a request. Targets that name a limit get what the limit allows; the rest goes to the others.
 * Cold targets, which have a limit too, get what no other target can take in time. A request that only targets with a
 * limit can take waits for one of them, if that leaves it in time.
 */
export const selectTarget = async (
  dependencies: RelayDependencies,
  context: RequestContext,
  options: SelectionOptions,
): Promise<Selection> => {
  const { clock, random, metrics, placing, targetLimits } = dependencies;
  const { permits } = targetLimits;
  const place: PlaceOutcome = options.needsFreeSlot
    ? await waitForPlace(dependencies, context, options.listCandidates)
    : { kind: 'free' };
  if (place.kind === 'refused')
    return deny({ reason: 'no-place', retryAfterMs: place.retryAfterMs });
  const needsFreeSlot = options.needsFreeSlot && place.kind === 'free';
  const nowMs = clock.monotonicMs();
  const candidates = options.listCandidates(nowMs);
  const canStart = (candidate: Candidate) => !needsFreeSlot || hasFreeSlot(candidate);

  const acquire = async (targets: readonly Candidate[], maxWaitMs: number): Promise<SendPermit> => {
    const permit = await permits.acquire(targets.map(toLimitedTarget), maxWaitMs);
    const labels = { service: context.service.name, outcome: permit.kind };
    metrics.limitedSends.add(labels);
    if (targets.some(isCold)) metrics.coldSends.add(labels);
    return permit;
  };

  const open = candidates.filter(
    (candidate) => !isLimited(candidate) || permits.isOpen(candidate.key),
  );
  const preferred = placing.choose(context, preferWarm(open, nowMs), { nowMs, random });
  if (preferred !== undefined && isLimited(preferred) && canStart(preferred)) {
    const permit = await acquire([preferred], 0);
    if (permit.kind === 'granted') return select(preferred);
  }
  const unlimited = placing.choose(
    context,
    candidates.filter((candidate) => !isLimited(candidate)),
    { nowMs, random },
  );
  if (unlimited !== undefined && canStart(unlimited)) return select(unlimited);
  const limited = limitCold(
    candidates.filter((candidate) => isLimited(candidate) && canStart(candidate)),
    random,
  );
  const [first] = limited;
  if (first === undefined) {
    const [full] = unlimited === undefined ? candidates : [unlimited];
    return deny(
      full === undefined ? { reason: 'no-target' } : { reason: 'no-slot', candidate: full },
    );
  }
  const maxWaitMs = maxWaitMsOf(context, first, clock.monotonicMs(), options.isRetry);
  const permit = await acquire(limited, maxWaitMs);
  if (permit.kind === 'denied') {
    return deny({ reason: 'target-limits', retryAfterMs: permit.retryAfterMs });
  }
  const grantedAtMs = clock.monotonicMs();
  const end = clocks.createDeadline(context.deadlineAtMs - grantedAtMs, [
    context.callerDisconnected,
    context.mustEnd,
  ]);
  const { signal } = end;
  if (permit.waitMs > 0) await delay(permit.waitMs, undefined, { signal }).catch(() => {});
  end.release();
  const lateMs = clock.monotonicMs() - grantedAtMs - permit.waitMs;
  if (lateMs > permitValidityMs) return selectTarget(dependencies, context, options);
  return select(limited.find(({ key }) => key === permit.targetKey) ?? first);
};
