import * as timers from 'node:timers/promises';
import * as routing from '@comfreydrum/routing';
import type { GatewayParts } from './GatewayParts';
import { createRefusal, type Refusal } from './Refusal';
import type { RequestContext } from './RequestContext';
import type { Acquisition, Candidate, Slot, SlotPool, SlotRequest } from './SlotPool';

/** The parameters of acquiring a target for one attempt. */
export interface TargetRequest {
  readonly pool: SlotPool;
  readonly admission: SlotRequest;
  readonly fingerprint: string;
  /** Identifies the attempt across all daemons. */
  readonly runId: string;
  /** Whether the attempt resumes a stream that an earlier attempt left incomplete. */
  readonly isResumed: boolean;
}

type SuspectStatus = Extract<routing.QuarantineStatus, { readonly kind: 'suspect' }>;

/** A resumed suspect that delivers this many tokens has passed the position of the last crash. */
const tokensPastCrash = 5;
const permitRenewalIntervalMs = 2_000;
const retryIntervalMs = 100;

/** Returns the identity of a candidate in crash records. */
export const crashTargetOf = ({
  id,
  generation,
  failureDomain,
}: Candidate): routing.CrashTarget => ({ targetId: id, generation, failureDomain });

const keyOf = (candidate: Candidate) => routing.targetKeyOf(crashTargetOf(candidate));

const refuseQuarantined = (retryAfterMs: number): Refusal =>
  createRefusal({
    step: 'quarantine',
    statusCode: 422,
    code: 'request_quarantined',
    message: 'two targets failed while they ran this request; it is not run again for now',
    retryAfterMs,
  });

const refuseDeadline = (): Refusal =>
  createRefusal({
    step: 'quarantine',
    statusCode: 503,
    code: 'deadline',
    message: 'a target failed while it ran this request; no other was free to run it alone',
    retryAfterMs: 1_000,
  });

/** Wraps a slot so that its permit is renewed until the slot is released. */
const withPermitRenewal = (parts: GatewayParts, request: TargetRequest, slot: Slot): Slot => {
  const { permits } = parts.guard;
  const { runId, isResumed } = request;
  const renewalTimer = setInterval(() => permits.renew(runId), permitRenewalIntervalMs);
  let tokenCount = 0;
  return {
    ...slot,
    onToken: () => {
      slot.onToken();
      tokenCount += 1;
      if (isResumed && tokenCount === tokensPastCrash) permits.freeTarget(runId);
    },
    release: () => {
      clearInterval(renewalTimer);
      slot.release();
    },
  };
};

/**
 * Acquires a slot for a suspect request together with a permit for its target. Returns undefined when the
 * request must wait.
 */
const acquireForSuspect = async (
  parts: GatewayParts,
  context: RequestContext,
  request: TargetRequest,
  status: SuspectStatus,
  busyKeys: Set<string>,
): Promise<Acquisition | undefined> => {
  const { guard, dependencies } = parts;
  const { admission: slotRequest, fingerprint, runId } = request;
  const isSettled = dependencies.clock.monotonicMs() >= status.settledAtMs;
  let hasTemporaryExclusion = false;
  const mayUse = (candidate: Candidate) => {
    if (slotRequest.mayUse?.(candidate) === false) return false;
    if (status.lostTargetKeys.has(keyOf(candidate))) return false;
    const mayShareOutage = !isSettled && status.lostFailureDomains.has(candidate.failureDomain);
    if (!mayShareOutage && !busyKeys.has(keyOf(candidate))) return true;
    hasTemporaryExclusion = true;
    return false;
  };
  const acquisition = await request.pool.acquire(
    { ...slotRequest, mayUse },
    context.callerDisconnected,
  );
  if (acquisition.kind === 'refused') {
    busyKeys.clear();
    return hasTemporaryExclusion ? undefined : acquisition;
  }
  const { slot } = acquisition;
  const response = await guard.permits.request({
    fingerprint,
    requestId: runId,
    target: crashTargetOf(slot.candidate),
    holderId: dependencies.instanceId,
    losses: guard.lossesOf(fingerprint),
  });
  if (response.kind === 'granted') {
    return { kind: 'slot', slot: withPermitRenewal(parts, request, slot) };
  }
  slot.cancel();
  if (response.kind === 'quarantined') guard.applyLosses(response.losses);
  else if (response.busy === 'target') busyKeys.add(keyOf(slot.candidate));
  return undefined;
};

/**
 * Acquires a slot for one attempt. A request suspected of crashing targets needs a fleet-wide permit
 * as well; a request that crashed two targets is refused.
 */
export const acquireTarget = async (
  parts: GatewayParts,
  context: RequestContext,
  request: TargetRequest,
): Promise<Acquisition> => {
  const { guard, dependencies } = parts;
  const { fingerprint, pool, admission: slotRequest } = request;
  const nowMs = () => dependencies.clock.monotonicMs();
  const busyKeys = new Set<string>();

  while (nowMs() < context.deadlineAtMs && !context.callerDisconnected.aborted) {
    const status = guard.check(fingerprint);
    if (status.kind === 'quarantined') {
      return { kind: 'refused', refusal: refuseQuarantined(status.retryAfterMs) };
    }
    if (status.kind === 'clear') {
      const acquisition = await pool.acquire(slotRequest, context.callerDisconnected);
      const isStillClear = guard.check(fingerprint).kind === 'clear';
      if (acquisition.kind === 'refused' || isStillClear) return acquisition;
      acquisition.slot.cancel();
      continue;
    }
    if (status.kind === 'suspect') {
      const acquisition = await acquireForSuspect(parts, context, request, status, busyKeys);
      if (acquisition !== undefined) return acquisition;
    }
    await timers.setTimeout(retryIntervalMs);
  }
  return { kind: 'refused', refusal: refuseDeadline() };
};
