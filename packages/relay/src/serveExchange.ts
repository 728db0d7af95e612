import { attemptExchange, type CompleteResponse, type ExchangeResult } from './attemptExchange';
import { chooseTarget, type Candidate } from './chooseTarget';
import { createMonitoredRun, endOfFailure } from './crashes/createMonitoredRun';
import type { RunEnd } from './crashes/createCrashMonitor';
import { makeCloseDelimited } from './makeCloseDelimited';
import { refuseUnverifiedKey } from './refuseUnverifiedKey';
import { createNotRunRefusal, createFailureRefusal, createQuarantineRefusal } from './Refusal';
import type { RelayDependencies } from './RelayDependencies';
import type { RequestContext } from './RequestContext';
import type { SendFailure } from './sendToTarget';
import type { ServeResult } from './ServeResult';

/** Maximum number of rejections by targets before a request is no longer retried. */
const maxRejections = 3;
/** Fraction of the latency target after which an idempotent request is tried on another target. */
const attemptTimeoutFraction = 0.7;
const minAttemptTimeoutMs = 60;
/** Retry delay sent to callers when all tried targets confirmed that they did not run the request. */
const rejectedRetryAfterMs = 100;
const noTargetRetryAfterMs = 300;
const firstFailureStatus = 500;

const writeAnswer = ({ response }: RequestContext, answer: CompleteResponse) => {
  const { statusCode, headers, body } = answer;
  if (answer.isCloseDelimited) makeCloseDelimited(response);
  const length = answer.isCloseDelimited ? {} : { 'content-length': body.length };
  response.writeHead(statusCode, { ...headers, ...length });
  response.end(body);
};

const endOfExchange = (result: ExchangeResult): RunEnd => {
  if (result.kind === 'failed') return endOfFailure(result.failure);
  if (result.answer.statusCode >= firstFailureStatus) return 'failed';
  // The end of a close-delimited body may also be the end of the process.
  return result.answer.isCloseDelimited ? 'broken' : 'completed';
};

/** Serves a request with a non-streaming response; tries targets in turn, as far as the route kind allows retries. */
export const serveExchange = async (
  dependencies: RelayDependencies,
  context: RequestContext,
): Promise<ServeResult> => {
  const { clock, log, crashMonitor } = dependencies;
  const { route, request, service } = context;
  const retryBudget = dependencies.retryBudgets.of(service.name);
  const isIdempotent = route.kind === 'idempotent';
  const tried = new Set<string>();
  let runCount = 0;
  let rejectionCount = 0;
  let failure: SendFailure | undefined;
  let failedAnswer: CompleteResponse | undefined;
  /** Why no further target was tried. */
  let denial: string | undefined;

  const choose = (nowMs: number): Candidate | undefined => {
    const all = dependencies.directory.standaloneTargets(service, nowMs);
    const untried = all.filter(({ key }) => !tried.has(key));
    return chooseTarget(untried, { nowMs, random: dependencies.random });
  };

  const mayRetry = (nowMs: number, candidate: Candidate): boolean => {
    if (runCount >= route.maxTargets || rejectionCount > maxRejections) return false;
    const decision = retryBudget.tryRetry(
      {
        targetId: candidate.key,
        triedIds: tried,
        deadlineAtMs: context.deadlineAtMs,
        expectedMs: candidate.expectedMs,
      },
      nowMs,
    );
    if (decision.kind === 'denied') denial = decision.reason;
    return decision.kind === 'allowed';
  };

  const createFinalResult = (): ServeResult => {
    if (failedAnswer !== undefined) {
      writeAnswer(context, failedAnswer);
      return { kind: 'answered', statusCode: failedAnswer.statusCode };
    }
    const suffix = denial === undefined ? '' : `; not sent again: ${denial}`;
    const refusal =
      runCount === 0
        ? createNotRunRefusal(
            tried.size === 0 ? 'no-target' : 'targets-refused',
            `${failure?.message ?? `no target of service ${service.name} is live`}${suffix}`,
            tried.size === 0 ? noTargetRetryAfterMs : rejectedRetryAfterMs,
          )
        : createFailureRefusal(
            clock.monotonicMs() >= context.deadlineAtMs ? 'timeout' : 'target-failed',
            `${failure?.message ?? 'no target gave an answer'}${suffix}`,
          );
    return { kind: 'refused', refusal };
  };

  for (;;) {
    const nowMs = clock.monotonicMs();
    if (!context.isStillAuthorized()) return refuseUnverifiedKey(runCount);
    const status = crashMonitor.check(context.fingerprint);
    if (status.kind === 'quarantined') {
      return { kind: 'refused', refusal: createQuarantineRefusal(runCount, status.retryAfterMs) };
    }
    const candidate = choose(nowMs);
    if (candidate === undefined) return createFinalResult();
    if (tried.size > 0 && !mayRetry(nowMs, candidate)) return createFinalResult();
    const remainingMs = context.deadlineAtMs - nowMs;
    if (remainingMs <= 0) return createFinalResult();
    const isLast = !isIdempotent || runCount + 1 >= route.maxTargets;
    const patienceMs = isLast
      ? remainingMs
      : Math.min(
          remainingMs,
          Math.max(minAttemptTimeoutMs, route.latencyTargetMs * attemptTimeoutFraction),
        );
    tried.add(candidate.key);
    log.debug(
      { requestId: request.requestId, step: 'dispatch', targetId: candidate.targetId, patienceMs },
      'request sent to target',
    );
    dependencies.metrics.dispatches.add({
      service: service.name,
      reason: tried.size === 1 ? 'first' : 'retry',
    });
    const run = createMonitoredRun(context, candidate);
    crashMonitor.onDispatch(run);
    const result = await attemptExchange(dependencies, context, candidate, patienceMs);
    await crashMonitor.onEnd(run, endOfExchange(result));
    if (context.callerDisconnected.aborted) return { kind: 'caller-gone' };
    if (result.kind === 'answered') {
      const { answer } = result;
      if (answer.statusCode < firstFailureStatus) {
        writeAnswer(context, answer);
        return { kind: 'answered', statusCode: answer.statusCode };
      }
      runCount += 1;
      // To callers 503 means "not run", so it is not forwarded without the target's confirmation.
      if (answer.statusCode !== 503) failedAnswer = answer;
      failure = {
        ran: 'unknown',
        message: `target ${candidate.targetId} answered ${answer.statusCode}`,
        wasRejected: false,
      };
    } else {
      failure = result.failure;
      if (failure.ran === 'unknown') runCount += 1;
      if (failure.wasRejected) rejectionCount += 1;
    }
    log.info(
      {
        requestId: request.requestId,
        step: 'dispatch',
        fingerprint: context.fingerprint,
        peer: candidate.address,
        targetId: candidate.targetId,
        ran: failure.ran,
        afterMs: Math.round(clock.monotonicMs() - nowMs),
      },
      failure.message,
    );
    if (failure.ran === 'unknown' && !isIdempotent) return createFinalResult();
  }
};
