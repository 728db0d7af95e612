import * as timers from 'node:timers/promises';
import * as routing from '@comfreydrum/routing';
import type { GatewayParts } from './GatewayParts';
import { createRefusal, type Refusal } from './Refusal';
import type { RequestContext } from './RequestContext';
import type { Acquisition, Candidate, Slot, SlotPool, Work } from './SlotPool';

/** What one attempt asks for. */
export interface TargetQuestion {
  readonly pool: SlotPool;
  readonly work: Work;
  readonly fingerprint: string;
  /** Names the attempt over all daemons. */
  readonly runId: string;
  /** Whether the attempt goes on where another broke off. */
  readonly isResumed: boolean;
}

type Suspicion = Extract<routing.QuarantineStatus, { readonly kind: 'suspect' }>;

/** After so many tokens a resumed suspect has passed where the last run broke off. */
const passedTokens = 5;
const renewMs = 2_000;
const retryMs = 100;

/** Names a candidate as crashes see it. */
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

const refuseLate = (): Refusal =>
  createRefusal({
    step: 'quarantine',
    statusCode: 503,
    code: 'deadline',
    message: 'a target failed while it ran this request; no other was free to run it alone',
    retryAfterMs: 1_000,
  });

/** Makes a slot renew its permit until it is released. */
const holdPermit = (parts: GatewayParts, question: TargetQuestion, slot: Slot): Slot => {
  const { permits } = parts.guard;
  const { runId, isResumed } = question;
  const renewal = setInterval(() => permits.renew(runId), renewMs);
  let tokenCount = 0;
  return {
    ...slot,
    onToken: () => {
      slot.onToken();
      tokenCount += 1;
      if (isResumed && tokenCount === passedTokens) permits.freeTarget(runId);
    },
    release: () => {
      clearInterval(renewal);
      slot.release();
    },
  };
};

/** Gets a slot for a suspect, with the permit to run there; undefined when it has to wait. */
const acquireForSuspect = async (
  parts: GatewayParts,
  context: RequestContext,
  question: TargetQuestion,
  verdict: Suspicion,
  busyKeys: Set<string>,
): Promise<Acquisition | undefined> => {
  const { guard, dependencies } = parts;
  const { work, fingerprint, runId } = question;
  const isSettled = dependencies.clock.monotonicMs() >= verdict.settledAtMs;
  let isHeldBack = false;
  const mayUse = (candidate: Candidate) => {
    if (work.mayUse?.(candidate) === false) return false;
    if (verdict.lostTargetKeys.has(keyOf(candidate))) return false;
    const mayBeDark = !isSettled && verdict.lostFailureDomains.has(candidate.failureDomain);
    if (!mayBeDark && !busyKeys.has(keyOf(candidate))) return true;
    isHeldBack = true;
    return false;
  };
  const acquisition = await question.pool.acquire({ ...work, mayUse }, context.callerGone);
  if (acquisition.kind === 'refused') {
    busyKeys.clear();
    return isHeldBack ? undefined : acquisition;
  }
  const { slot } = acquisition;
  const answer = await guard.permits.ask({
    fingerprint,
    requestId: runId,
    target: crashTargetOf(slot.candidate),
    holderId: dependencies.instanceId,
    losses: guard.lossesOf(fingerprint),
  });
  if (answer.kind === 'granted') {
    return { kind: 'slot', slot: holdPermit(parts, question, slot) };
  }
  slot.giveBack();
  if (answer.kind === 'quarantined') guard.takeLosses(answer.losses);
  else if (answer.busy === 'target') busyKeys.add(keyOf(slot.candidate));
  return undefined;
};

/**
 * Gets a slot for one attempt. A request that is suspected of crashing targets gets one only with a
 * permit of the fleet; one that crashed two is refused.
 */
export const acquireTarget = async (
  parts: GatewayParts,
  context: RequestContext,
  question: TargetQuestion,
): Promise<Acquisition> => {
  const { guard, dependencies } = parts;
  const { fingerprint, pool, work } = question;
  const nowMs = () => dependencies.clock.monotonicMs();
  const busyKeys = new Set<string>();

  while (nowMs() < context.deadlineAtMs && !context.callerGone.aborted) {
    const verdict = guard.check(fingerprint);
    if (verdict.kind === 'quarantined') {
      return { kind: 'refused', refusal: refuseQuarantined(verdict.retryAfterMs) };
    }
    if (verdict.kind === 'clear') {
      const acquisition = await pool.acquire(work, context.callerGone);
      const isStillClear = guard.check(fingerprint).kind === 'clear';
      if (acquisition.kind === 'refused' || isStillClear) return acquisition;
      acquisition.slot.giveBack();
      continue;
    }
    if (verdict.kind === 'suspect') {
      const acquisition = await acquireForSuspect(parts, context, question, verdict, busyKeys);
      if (acquisition !== undefined) return acquisition;
    }
    await timers.setTimeout(retryMs);
  }
  return { kind: 'refused', refusal: refuseLate() };
};
