import type * as routing from '@comfreydrum/routing';
import { attemptStream, type StreamResult } from './attemptStream';
import { chooseTarget, hasPlace, loadOf, type Candidate } from './chooseTarget';
import { createStreamProgress } from './createStreamProgress';
import { refuseKey } from './refuseKey';
import { refuseNotRun, reportFailure, type Refusal } from './Refusal';
import type { RelayParts } from './RelayParts';
import type { RequestContext } from './RequestContext';
import type { ServeResult } from './ServeResult';

/** How often one request may be sent to heads that turn it away. */
const maxRejections = 4;
/** A head that fell silent gets no new work for this long unless it is the only one. */
const avoidSilentMs = 2_500;
/** A head that turned a request away is full for about this long. */
const avoidFullMs = 150;
/** Groups join within a second or two from staged weights. */
const noGroupRetryAfterMs = 1_200;
const fullRetryAfterMs = 1_200;
const minSendBudgetMs = 20;

/** Serves a request whose answer is a stream; it goes on at another head where one breaks off. */
export const serveStream = async (
  dependencies: RelayParts,
  context: RequestContext,
): Promise<ServeResult> => {
  const { clock, board: targetTracker, log, retries: retryBudget } = dependencies;
  const { route, request, service, response } = context;
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

  /** A run may end early for another only where both can be afforded. */
  const mayMove = () =>
    route.isResumable &&
    runCount + 1 < route.maxTargets &&
    choose(clock.monotonicMs()) !== undefined;

  const createRefusal = (): Refusal => {
    if (clock.monotonicMs() >= context.deadlineAtMs) return reportFailure('timeout', message);
    if (runCount > 0) return reportFailure('target-failed', message);
    if (tried.size === 0) return refuseNotRun('no-group', message, noGroupRetryAfterMs);
    return refuseNotRun('targets-refused', message, fullRetryAfterMs);
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
    if (abortedFor === 'silence') targetTracker.avoid(candidate.key, nowMs + avoidSilentMs);
    if (failure.wasRejected) targetTracker.avoid(candidate.key, nowMs + avoidFullMs);
    if (failure.faultyTargetId !== undefined || !failure.wasRejected) {
      dependencies.suspicions.suspect(failure.faultyTargetId ?? candidate.targetId);
    }
    log.info(
      {
        requestId: request.requestId,
        step: 'stream',
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
    if (!context.mayStillRun()) return refuseKey(runCount);
    const candidate = choose(nowMs);
    if (candidate === undefined) return { kind: 'refused', refusal: createRefusal() };
    const isRetry = tried.size > 0;
    if (!isRetry && !hasPlace(candidate)) {
      const load = loadOf(candidate).toFixed(2);
      const text = `the least loaded group of model ${request.modelName} is at ${load} of its places`;
      return { kind: 'refused', refusal: refuseNotRun('overload', text, fullRetryAfterMs) };
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
        inFlight: candidate.evidence.inFlight,
        resumeAfterEventId: progress.read().lastEventId,
      },
      'request sent to group',
    );
    dependencies.metrics.dispatches.add({
      service: service.name,
      reason: isRetry ? 'retry' : 'first',
    });
    const result = await attemptStream(dependencies, context, { candidate, progress, mayMove });
    if (context.callerGone.aborted) return { kind: 'caller-gone' };
    if (result.kind === 'complete') {
      const isFramed = response.headersSent && response.useChunkedEncodingByDefault;
      // The end of a run without a frame proves nothing to a caller who was promised one.
      if (isFramed && result.isUnframed) response.socket?.destroySoon();
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
    // A timer may end a run just before the clock shows the deadline.
    if (result.abortedFor === 'time-limit') {
      return { kind: 'refused', refusal: reportFailure('timeout', message) };
    }
  }
};
