import { attemptExchange, type CompleteResponse, type ExchangeResult } from './attemptExchange';
import { isWarmingUp, type Candidate } from './chooseTarget';
import { createMonitoredRun, endOfFailure } from './crashes/createMonitoredRun';
import type { RunEnd } from './crashes/createCrashMonitor';
import { endWhenSent } from './endWhenSent';
import { isRepeatable } from './isRepeatable';
import { makeCloseDelimited } from './makeCloseDelimited';
import { refuseUnverifiedKey } from './refuseUnverifiedKey';
import {
  createNotRunRefusal,
  createFailureRefusal,
  createLimitRefusal,
  createPauseRefusal,
  createEvacuationRefusal,
  createQuarantineRefusal,
  createStopRefusal,
} from './Refusal';
import type { RelayDependencies } from './RelayDependencies';
import type { RequestContext } from './RequestContext';
import { createRunAllowance, type RunDenial } from './runs/createRunAllowance';
import { superviseRuns, type RunControl, type RunReason } from './runs/superviseRuns';
import type { SendFailure } from './sendToTarget';
import { findPauseMs } from './signals/findPauseMs';
import type { ServeResult } from './ServeResult';

/** Maximum number of rejections by targets before a request is no longer retried. */
const maxRejections = 3;
/** Fraction of the latency target after which an idempotent request is hedged. */
const hedgeDelayFraction = 0.7;
const minHedgeDelayMs = 60;
/** Retry delay sent to callers when all tried targets confirmed that they did not run the request. */
const rejectedRetryAfterMs = 100;
const noTargetRetryAfterMs = 300;
const firstFailureStatus = 500;

const writeAnswer = ({ response }: RequestContext, answer: CompleteResponse) => {
  const { statusCode, headers, body } = answer;
  if (answer.isCloseDelimited) makeCloseDelimited(response);
  const length = answer.isCloseDelimited ? {} : { 'content-length': body.length };
  response.writeHead(statusCode, { ...headers, ...length });
  response.write(body);
  endWhenSent(response);
};

const endOfExchange = (result: ExchangeResult): RunEnd => {
  if (result.kind === 'failed') return endOfFailure(result.failure);
  if (result.answer.statusCode >= firstFailureStatus) return 'failed';
  // The end of a close-delimited body may also be the end of the process.
  return result.answer.isCloseDelimited ? 'broken' : 'completed';
};

/** A run that has failed, perhaps with an answer to forward if no other run succeeds. */
interface FailedRun {
  readonly failure: SendFailure;
  readonly answer: CompleteResponse | undefined;
  readonly sentAtMs: number;
  readonly checked: Promise<void>;
}

/** Serves a request with a non-streaming response; tries targets as far as the route kind allows retries. */
export const serveExchange = async (
  dependencies: RelayDependencies,
  context: RequestContext,
): Promise<ServeResult> => {
  const { clock, log, crashMonitor, targetTracker } = dependencies;
  const { route, request, service } = context;
  const hedgeDelayMs = Math.max(minHedgeDelayMs, route.latencyTargetMs * hedgeDelayFraction);
  const listCandidates = (nowMs: number) =>
    dependencies.directory.standaloneTargets(service, nowMs);
  const allowance = createRunAllowance(dependencies, context, {
    listCandidates,
    isRepeatable: () => isRepeatable(route),
    needsFreeSlot: false,
    maxRejections,
  });
  let failure: SendFailure | undefined;
  let failedAnswer: CompleteResponse | undefined;

  const createRefusal = ({ reason }: RunDenial) => {
    const isDenied = reason === 'budget-spent' || reason === 'past-deadline';
    const suffix = isDenied ? `; not sent again: ${reason}` : '';
    if (allowance.failedRunCount() > 0) {
      const isLate = clock.monotonicMs() >= context.deadlineAtMs || reason === 'deadline-reached';
      const text = `${failure?.message ?? 'no target gave an answer'}${suffix}`;
      return createFailureRefusal(isLate ? 'timeout' : 'target-failed', text);
    }
    const nowMs = clock.monotonicMs();
    const pauseMs = findPauseMs(listCandidates(nowMs), nowMs);
    if (pauseMs !== undefined) return createPauseRefusal(service.name, pauseMs);
    if (allowance.triedCount() === 0) {
      const text = `no target of service ${service.name} is live`;
      return createNotRunRefusal('no-target', text, noTargetRetryAfterMs);
    }
    const text = `${failure?.message ?? 'no target took the request'}${suffix}`;
    return createNotRunRefusal('targets-refused', text, rejectedRetryAfterMs);
  };

  const createFinalResult = (denial: RunDenial): ServeResult => {
    const failedCount = allowance.failedRunCount();
    if (denial.reason === 'unauthorized') return refuseUnverifiedKey(failedCount);
    if (denial.reason === 'quarantined') {
      const refusal = createQuarantineRefusal(failedCount, denial);
      return { kind: 'refused', refusal };
    }
    if (denial.reason === 'target-limits' && failedCount === 0) {
      return { kind: 'refused', refusal: createLimitRefusal(service.name, denial.retryAfterMs) };
    }
    const isNotRun = denial.reason === 'no-target' && failedCount === 0;
    if (isNotRun && dependencies.directory.isEmptied(service, undefined)) {
      const refusal = createEvacuationRefusal(service.name, dependencies.evacuations);
      return { kind: 'refused', refusal };
    }
    if (failedAnswer === undefined) {
      const refusal =
        denial.reason === 'shutting-down' ? createStopRefusal(failedCount) : createRefusal(denial);
      return { kind: 'refused', refusal };
    }
    writeAnswer(context, failedAnswer);
    return { kind: 'answered', statusCode: failedAnswer.statusCode };
  };

  const toFailure = (candidate: Candidate, result: ExchangeResult): SendFailure => {
    if (result.kind === 'failed') return result.failure;
    const message = `target ${candidate.targetId} answered ${result.answer.statusCode}`;
    return { ran: 'unknown', message, wasRejected: false };
  };

  const run = async (candidate: Candidate, reason: RunReason, control: RunControl) => {
    const sentAtMs = clock.monotonicMs();
    log.debug(
      { requestId: request.requestId, step: 'dispatch', targetId: candidate.targetId, reason },
      'request sent to target',
    );
    dependencies.metrics.dispatches.add({ service: service.name, reason });
    const monitored = createMonitoredRun(context, candidate);
    const stopWatching = dependencies.stallMonitor.add((nowMs) => {
      const silentMs = nowMs - sentAtMs;
      if (!isRepeatable(route) || silentMs < hedgeDelayMs) return;
      if (control.onSilent(silentMs)?.kind === 'allowed' && !isWarmingUp(candidate)) {
        targetTracker.onFailure(candidate.key, nowMs);
      }
    });
    const result = await attemptExchange(dependencies, context, candidate, control.signal, () =>
      crashMonitor.onDispatch(monitored),
    );
    stopWatching();
    const checked = crashMonitor.onEnd(monitored, endOfExchange(result));
    if (result.kind === 'answered' && result.answer.statusCode < firstFailureStatus) {
      return { kind: 'succeeded', success: result.answer } as const;
    }
    const answer = result.kind === 'answered' ? result.answer : undefined;
    const failed = { failure: toFailure(candidate, result), answer, sentAtMs, checked };
    return { kind: 'failed', failure: failed } as const;
  };

  const recordFailure = (candidate: Candidate, failed: FailedRun) => {
    failure = failed.failure;
    // To callers 503 means "not run", so it is not forwarded without the target's confirmation.
    if (failed.answer !== undefined && failed.answer.statusCode !== 503) {
      failedAnswer = failed.answer;
    }
    allowance.onFailure(candidate, failure);
    log.info(
      {
        requestId: request.requestId,
        step: 'dispatch',
        fingerprint: context.fingerprint,
        peer: candidate.address,
        targetId: candidate.targetId,
        ran: failure.ran,
        afterMs: Math.round(clock.monotonicMs() - failed.sentAtMs),
      },
      failure.message,
    );
  };

  const supervised = await superviseRuns<CompleteResponse, FailedRun>({
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
  if (supervised.kind === 'denied') return createFinalResult(supervised.denial);
  writeAnswer(context, supervised.success);
  return { kind: 'answered', statusCode: supervised.success.statusCode };
};
