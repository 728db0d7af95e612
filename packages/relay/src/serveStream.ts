import type * as routing from '@comfreydrum/routing';
import { attemptStream, type StreamResult } from './attemptStream';
import { chooseTarget, hasFreeSlot, utilizationOf, type Candidate } from './chooseTarget';
import type { RunEnd } from './crashes/createCrashMonitor';
import { createMonitoredRun, endOfFailure } from './crashes/createMonitoredRun';
import { createStreamProgress } from './createStreamProgress';
import { refuseUnverifiedKey } from './refuseUnverifiedKey';
import {
  createNotRunRefusal,
  createFailureRefusal,
  createQuarantineRefusal,
  type Refusal,
} from './Refusal';
import type { RelayDependencies } from './RelayDependencies';
import type { RequestContext } from './RequestContext';
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
const minSendBudgetMs = 20;

const endOfStream = (result: StreamResult): RunEnd => {
  if (result.kind === 'failed') return endOfFailure(result.failure);
  // The end of a close-delimited stream may also be the end of the process.
  return result.isCloseDelimited ? 'broken' : 'completed';
};

/** Serves a request with a streaming response; resumes the stream at another head when a run fails. */
export const serveStream = async (
  dependencies: RelayDependencies,
  context: RequestContext,
): Promise<ServeResult> => {
  const { clock, targetTracker, log, crashMonitor } = dependencies;
  const { route, request, service, response } = context;
  const retryBudget = dependencies.retryBudgets.of(service.name);
  const progress = createStreamProgress(request.lastEventId);
  const tried = new Set<string>();
  let runCount = 0;
  let rejectionCount = 0;
  let message = `no group serves model ${request.modelName} of service ${service.name}`;

  const choose = (nowMs: number): Candidate | undefined =>
    chooseTarget(
      dependencies.directory
        .groupHeads(service, request.modelName, nowMs)
        .filter(({ key }) => !tried.has(key)),
      { nowMs, random: dependencies.random },
    );

  const retryAt = (candidate: Candidate, nowMs: number): routing.RetryDecision =>
    retryBudget.tryRetry(
      {
        targetId: candidate.key,
        triedIds: tried,
        deadlineAtMs: context.deadlineAtMs,
        expectedMs: candidate.expectedMs,
      },
      nowMs,
    );

  /** Reports whether the stream can be resumed, one more run is allowed and another head is available. */
  const mayMove = () =>
    route.isResumable &&
    runCount + 1 < route.maxTargets &&
    choose(clock.monotonicMs()) !== undefined;

  const createRefusal = (): Refusal => {
    if (clock.monotonicMs() >= context.deadlineAtMs)
      return createFailureRefusal('timeout', message);
    if (runCount > 0) return createFailureRefusal('target-failed', message);
    if (tried.size === 0) return createNotRunRefusal('no-group', message, noGroupRetryAfterMs);
    return createNotRunRefusal('targets-refused', message, fullRetryAfterMs);
  };

  const recordFailure = (
    candidate: Candidate,
    { failure, abortedFor }: Extract<StreamResult, { kind: 'failed' }>,
    sentAtMs: number,
  ) => {
    const nowMs = clock.monotonicMs();
    message = `target ${candidate.targetId}: ${failure.message}`;
    if (failure.ran === 'unknown') runCount += 1;
    if (failure.wasRejected) rejectionCount += 1;
    if (abortedFor === 'stall') targetTracker.avoid(candidate.key, nowMs + avoidStalledMs);
    if (failure.wasRejected) targetTracker.avoid(candidate.key, nowMs + avoidFullMs);
    if (failure.faultyTargetId !== undefined || !failure.wasRejected) {
      dependencies.failureReporter.suspect(failure.faultyTargetId ?? candidate.targetId);
    }
    log.info(
      {
        requestId: request.requestId,
        step: 'stream',
        fingerprint: context.fingerprint,
        peer: candidate.address,
        targetId: candidate.targetId,
        group: candidate.groupKey,
        ran: failure.ran,
        events: progress.read().eventCount,
        lastEventId: progress.read().lastEventId,
        afterMs: Math.round(nowMs - sentAtMs),
      },
      message,
    );
  };

  for (;;) {
    const nowMs = clock.monotonicMs();
    if (!context.isStillAuthorized()) return refuseUnverifiedKey(runCount);
    const status = crashMonitor.check(context.fingerprint);
    if (status.kind === 'quarantined') {
      return { kind: 'refused', refusal: createQuarantineRefusal(runCount, status.retryAfterMs) };
    }
    const candidate = choose(nowMs);
    if (candidate === undefined) return { kind: 'refused', refusal: createRefusal() };
    const isRetry = tried.size > 0;
    if (!isRetry && !hasFreeSlot(candidate)) {
      const load = utilizationOf(candidate).toFixed(2);
      const text = `the least loaded group of model ${request.modelName} is at ${load} of its places`;
      return { kind: 'refused', refusal: createNotRunRefusal('overload', text, fullRetryAfterMs) };
    }
    if (isRetry) {
      const mayRepeat = runCount === 0 || (route.isResumable && runCount < route.maxTargets);
      if (!mayRepeat || rejectionCount > maxRejections) {
        return { kind: 'refused', refusal: createRefusal() };
      }
      const decision = retryAt(candidate, nowMs);
      if (decision.kind === 'denied') {
        message = `${message}; not sent again: ${decision.reason}`;
        return { kind: 'refused', refusal: createRefusal() };
      }
    }
    if (context.deadlineAtMs - nowMs < minSendBudgetMs)
      return { kind: 'refused', refusal: createRefusal() };
    tried.add(candidate.key);
    log.debug(
      {
        requestId: request.requestId,
        step: 'dispatch',
        targetId: candidate.targetId,
        group: candidate.groupKey,
        inFlight: candidate.stats.inFlight,
        resumeAfterEventId: progress.read().lastEventId,
      },
      'request sent to group',
    );
    dependencies.metrics.dispatches.add({
      service: service.name,
      reason: isRetry ? 'retry' : 'first',
    });
    const run = createMonitoredRun(context, candidate);
    crashMonitor.onDispatch(run);
    const result = await attemptStream(dependencies, context, { candidate, progress, mayMove });
    const checked = crashMonitor.onEnd(run, endOfStream(result));
    if (context.callerDisconnected.aborted) return { kind: 'caller-gone' };
    if (result.kind === 'complete') {
      const isFramed = response.headersSent && response.useChunkedEncodingByDefault;
      // The response to the caller is chunked, but the end of a close-delimited run doesn't prove that the stream is
      // complete, so the connection is closed without the last chunk.
      if (isFramed && result.isCloseDelimited) response.socket?.destroySoon();
      else response.end();
      const { eventCount, firstEventAtMs, maxGapMs } = progress.read();
      return {
        kind: 'answered',
        statusCode: result.statusCode,
        timing: {
          targetId: candidate.targetId,
          triedCount: tried.size,
          events: eventCount,
          firstEventMs: Math.round((firstEventAtMs ?? nowMs) - context.arrivedAtMs),
          maxGapMs: Math.round(maxGapMs),
        },
      };
    }
    recordFailure(candidate, result, nowMs);
    await checked;
    // The timer may abort a run just before the monotonic clock reaches the deadline.
    if (result.abortedFor === 'time-limit') {
      return { kind: 'refused', refusal: createFailureRefusal('timeout', message) };
    }
  }
};
