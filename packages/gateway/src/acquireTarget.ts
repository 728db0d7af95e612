import * as timers from 'node:timers/promises';
import * as routing from '@comfreydrum/routing';
import type { GatewayParts } from './GatewayParts';
import { createRefusal, type Refusal } from './Refusal';
import type { RequestContext } from './RequestContext';
import type { Acquisition, Candidate, Slot, SlotPool, Work } from './SlotPool';

/** The parameters of acquiring a target for one attempt. */
export interface TargetQuestion {
  readonly pool: SlotPool;
  readonly work: Work;
  readonly fingerprint: string;
  /** Identifies the attempt across all daemons. */
  readonly runId: string;
  /** Whether the attempt resumes a stream that an earlier attempt left incomplete. */
  readonly isResumed: boolean;
}

type Suspicion = Extract<routing.Verdict, { readonly kind: 'suspect' }>;

/** A resumed suspect that delivers this many tokens has passed the position of the last crash. */
const passedTokens = 5;
const renewMs = 2_000;
const retryMs = 100;

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

const refuseLate = (): Refusal =>
  createRefusal({
    step: 'quarantine',
    statusCode: 503,
    code: 'deadline',
    message: 'a target failed while it ran this request; no other was free to run it alone',
    retryAfterMs: 1_000,
  });

/** Wraps a slot so that its permit is renewed until the slot is released. */
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

/**
 * Acquires a slot for a suspect request together with a permit for its target. Returns undefined when the
 * request must wait.
 */
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
 * Acquires a slot for one attempt. A request suspected of crashing targets needs a fleet-wide permit
 * as well; a request that crashed two targets is refused.
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
