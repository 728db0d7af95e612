import { attemptStream, type EndProof, type Silence, type StreamResult } from './attemptStream';
import { isWarmingUp, utilizationOf, type Candidate } from './chooseTarget';
import type { RunEnd } from './crashes/createCrashMonitor';
import { createMonitoredRun, endOfFailure } from './crashes/createMonitoredRun';
import { createStreamProgress } from './createStreamProgress';
import { endWhenSent } from './endWhenSent';
import { isRepeatable } from './isRepeatable';
import { retryAfterMsOf } from './placing/retryAfterMsOf';
import { refuseUnverifiedKey } from './refuseUnverifiedKey';
import {
  createNotRunRefusal,
  createFailureRefusal,
  createLimitRefusal,
  createPauseRefusal,
  createEvacuationRefusal,
  createQuarantineRefusal,
  createStopRefusal,
  type Refusal,
} from './Refusal';
import type { RelayDependencies } from './RelayDependencies';
import type { RequestContext } from './RequestContext';
import { createRunAllowance, type RunDenial } from './runs/createRunAllowance';
import { superviseRuns, type RunControl, type RunReason } from './runs/superviseRuns';
import type { SendFailure } from './sendToTarget';
import { findPauseMs } from './signals/findPauseMs';
import type { ServeResult } from './ServeResult';

/** Maximum number of rejections by heads before a request is no longer retried. */
const maxRejections = 4;
/** How long a stalled head gets no new requests unless it is the only one. */
const avoidStalledMs = 2_500;
/** How long a head that rejected a request is assumed to be full. */
const avoidFullMs = 150;
/** Groups take one to two seconds to join when their weights are staged. */
const noGroupRetryAfterMs = 1_200;
const fullRetryAfterMs = 1_200;

const endOfStream = (result: StreamResult): RunEnd => {
  if (result.kind === 'failed') return endOfFailure(result.failure);
  // The close of the connection may also have been the end of the process.
  return result.endProof === 'none' ? 'broken' : 'completed';
};

/** A run that has failed, and whether its target is known to have ended by now. */
interface FailedRun {
  readonly failure: SendFailure;
  readonly sentAtMs: number;
  readonly checked: Promise<void>;
}

/** A run that has delivered its last event. */
interface CompleteRun {
  readonly candidate: Candidate;
  readonly statusCode: number;
  readonly endProof: EndProof;
}

/** Serves a request with a streaming response; resumes the stream at another head when a run fails or is silent. */
export const serveStream = async (
  dependencies: RelayDependencies,
  context: RequestContext,
): Promise<ServeResult> => {
  const { clock, targetTracker, log, crashMonitor } = dependencies;
  const { route, request, service, response } = context;
  const progress = createStreamProgress(request.lastEventId);
  const listCandidates = (nowMs: number) =>
    dependencies.directory.groupHeads(service, request.modelName, nowMs);
  const allowance = createRunAllowance(dependencies, context, {
    listCandidates,
    isRepeatable: () => isRepeatable(route) && progress.read().isResumable,
    needsFreeSlot: true,
    maxRejections,
  });
  const silentKeys = new Set<string>();
  let message = `no group serves model ${request.modelName} of service ${service.name}`;

  const logFieldsOf = (candidate: Candidate, sentAtMs: number) => ({
    requestId: request.requestId,
    step: 'stream',
    fingerprint: context.fingerprint,
    peer: candidate.address,
    targetId: candidate.targetId,
    group: candidate.groupKey,
    events: progress.read().eventCount,
    lastEventId: progress.read().lastEventId,
    afterMs: Math.round(clock.monotonicMs() - sentAtMs),
  });

  const createRefusal = ({ reason }: RunDenial): Refusal => {
    const hasFailed = allowance.failedRunCount() > 0;
    const isLate = clock.monotonicMs() >= context.deadlineAtMs;
    if (isLate || (hasFailed && reason === 'deadline-reached'))
      return createFailureRefusal('timeout', message);
    if (reason === 'budget-spent' || reason === 'past-deadline')
      message = `${message}; not sent again: ${reason}`;
    if (hasFailed) return createFailureRefusal('target-failed', message);
    const nowMs = clock.monotonicMs();
    const pauseMs = findPauseMs(listCandidates(nowMs), nowMs);
    if (pauseMs !== undefined) return createPauseRefusal(service.name, pauseMs);
    const retryAfterMs = (usualMs: number) => retryAfterMsOf(dependencies, context, usualMs);
    if (allowance.triedCount() === 0)
      return createNotRunRefusal('no-group', message, retryAfterMs(noGroupRetryAfterMs));
    return createNotRunRefusal('targets-refused', message, retryAfterMs(fullRetryAfterMs));
  };

  const refuse = (denial: RunDenial): ServeResult => {
    const failedCount = allowance.failedRunCount();
    if (denial.reason === 'shutting-down') {
      return { kind: 'refused', refusal: createStopRefusal(failedCount) };
    }
    if (denial.reason === 'unauthorized') return refuseUnverifiedKey(failedCount);
    if (denial.reason === 'quarantined') {
      const refusal = createQuarantineRefusal(failedCount, denial);
      return { kind: 'refused', refusal };
    }
    if (denial.reason === 'target-limits' && failedCount === 0) {
      return { kind: 'refused', refusal: createLimitRefusal(service.name, denial.retryAfterMs) };
    }
    const isNotRun = denial.reason === 'no-target' && failedCount === 0;
    if (isNotRun && dependencies.directory.isEmptied(service, request.modelName)) {
      const refusal = createEvacuationRefusal(service.name, dependencies.evacuations);
      return { kind: 'refused', refusal };
    }
    if (denial.reason === 'no-place') {
      const text = `no group of model ${request.modelName} is expected to have a place in time`;
      return {
        kind: 'refused',
        refusal: createNotRunRefusal('overload', text, denial.retryAfterMs),
      };
    }
    if (denial.reason === 'no-slot') {
      const load = utilizationOf(denial.candidate).toFixed(2);
      const text = `the least loaded group of model ${request.modelName} is at ${load} of its places`;
      return { kind: 'refused', refusal: createNotRunRefusal('overload', text, fullRetryAfterMs) };
    }
    return { kind: 'refused', refusal: createRefusal(denial) };
  };

  /** Lets other requests avoid a silent target, and starts a hedge if it is allowed. */
  const handleSilence = (
    candidate: Candidate,
    control: RunControl,
    sentAtMs: number,
    { silentMs, reason }: Silence,
  ) => {
    const nowMs = clock.monotonicMs();
    const isNew = !silentKeys.has(candidate.key);
    silentKeys.add(candidate.key);
    targetTracker.avoid(candidate.key, nowMs + avoidStalledMs);
    const decision = control.onSilent(silentMs);
    if (isNew && !isWarmingUp(candidate)) targetTracker.onFailure(candidate.key, nowMs);
    if (decision?.kind === 'allowed') dependencies.failureReporter.suspect(candidate.targetId);
    if (decision === undefined || (decision.kind === 'denied' && !isNew)) return;
    const hedge = decision.kind === 'allowed' ? 'hedged' : `not hedged: ${decision.denial.reason}`;
    const text = `${reason}: nothing came for ${Math.round(silentMs)} ms; ${hedge}`;
    log.info(logFieldsOf(candidate, sentAtMs), `target ${candidate.targetId}: ${text}`);
  };

  const recordFailure = (candidate: Candidate, { failure, sentAtMs }: FailedRun) => {
    message = `target ${candidate.targetId}: ${failure.message}`;
    allowance.onFailure(candidate, failure);
    const { wasRejected, excuse, faultyTargetId = candidate.targetId } = failure;
    if (wasRejected && excuse === undefined) {
      targetTracker.avoid(candidate.key, clock.monotonicMs() + avoidFullMs);
    }
    const isSuspect = failure.faultyTargetId !== undefined || !wasRejected;
    const isExcused = excuse !== undefined && faultyTargetId === candidate.targetId;
    if (isSuspect && !isExcused) dependencies.failureReporter.suspect(faultyTargetId);
    log.info({ ...logFieldsOf(candidate, sentAtMs), ran: failure.ran }, message);
  };

  const run = async (candidate: Candidate, reason: RunReason, control: RunControl) => {
    const sentAtMs = clock.monotonicMs();
    log.debug(
      {
        requestId: request.requestId,
        step: 'dispatch',
        targetId: candidate.targetId,
        group: candidate.groupKey,
        inFlight: candidate.stats.inFlight,
        resumeAfterEventId: progress.read().lastEventId,
        reason,
      },
      'request sent to group',
    );
    dependencies.metrics.dispatches.add({ service: service.name, reason });
    const isResumed = progress.read().eventCount > 0 || request.lastEventId !== undefined;
    const monitored = createMonitoredRun(context, candidate, isResumed);
    const result = await attemptStream(dependencies, context, {
      candidate,
      progress,
      control,
      onWrite: () => crashMonitor.onDispatch(monitored),
      onSilent: (silence) => handleSilence(candidate, control, sentAtMs, silence),
    });
    const checked = crashMonitor.onEnd(monitored, endOfStream(result));
    if (result.kind === 'complete') {
      return { kind: 'succeeded', success: { ...result, candidate } } as const;
    }
    return { kind: 'failed', failure: { failure: result.failure, sentAtMs, checked } } as const;
  };

  const supervised = await superviseRuns<CompleteRun, FailedRun>({
    clock,
    allowance,
    callerDisconnected: context.callerDisconnected,
    run,
    onFailure: async (candidate, failed) => {
      recordFailure(candidate, failed);
      await failed.checked;
    },
  });
  if (supervised.kind === 'caller-gone') return { kind: 'caller-gone' };
  if (supervised.kind === 'denied') return refuse(supervised.denial);
  const { candidate, statusCode, endProof } = supervised.success;
  endWhenSent(response);
  const { eventCount, firstEventAtMs, maxGapMs } = progress.read();
  return {
    kind: 'answered',
    statusCode,
    timing: {
      targetId: candidate.targetId,
      triedCount: allowance.triedCount(),
      events: eventCount,
      firstEventMs: Math.round((firstEventAtMs ?? clock.monotonicMs()) - context.arrivedAtMs),
      maxGapMs: Math.round(maxGapMs),
      endProof,
    },
  };
};
