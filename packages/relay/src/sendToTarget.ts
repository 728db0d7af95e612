import type * as errors from '@comfreydrum/errors';
import type * as targetClient from '@comfreydrum/target-client';
import type { Candidate } from './chooseTarget';
import { isRepeatable } from './isRepeatable';
import type { RelayDependencies } from './RelayDependencies';
import type { RequestContext } from './RequestContext';
import type { Hold } from './signals/createTargetSignals';
import type { ResponseMetadata } from './TargetWire';

/** The head of a response whose request id matches the request. */
export interface MatchedResponse {
  readonly answer: targetClient.TargetResponse;
  readonly metadata: ResponseMetadata;
}

/** Why an attempt yielded no usable response. */
export interface SendFailure {
  readonly ran: 'not-run' | 'unknown';
  readonly message: string;
  /** Whether the target itself rejected the request. */
  readonly wasRejected: boolean;
  /** Whether the connection broke after the request was sent, and not because this daemon aborted it. */
  readonly wasBroken?: boolean;
  /** Whether the target answered with a status that is no result. */
  readonly wasAnswered?: boolean;
  readonly faultyTargetId?: string | undefined;
  /** Why the failure says nothing against the target. */
  readonly excuse?: SendExcuse | undefined;
}

/** Why a request is held back just before it is sent. */
type SendHold = Hold | 'evacuated';

/**
 * The request was held back because of what its target or the operator had said, the target asked to wait, or this daemon
 * has to stop.
 */
export type SendExcuse = 'held-back' | 'pause' | 'stop';

/** The options of one attempt to send a request. */
export interface SendOptions {
  readonly candidate: Candidate;
  readonly resumeAfterEventId: number | undefined;
  readonly signal: AbortSignal;
  /** Called in the tick in which the request is written to a connection of the target. */
  readonly onWrite: () => void;
}

export type SendResult =
  | { readonly kind: 'answer'; readonly matched: MatchedResponse }
  | { readonly kind: 'failed'; readonly failure: SendFailure };

const failed = (failure: SendFailure): SendResult => ({ kind: 'failed', failure });

/** Returns the excuse of a failure that a target has answered. */
export const excuseOf = ({
  retryAfterMs,
}: Pick<ResponseMetadata, 'retryAfterMs'>): SendExcuse | undefined =>
  retryAfterMs === undefined ? undefined : 'pause';

type ClientResult = errors.Result<targetClient.TargetResponse, targetClient.TargetFailure>;

const toSendResult = (
  dependencies: RelayDependencies,
  context: RequestContext,
  sent: ClientResult,
  { candidate, signal }: SendOptions,
): SendResult => {
  if (!sent.ok) {
    const { ran, message } = sent.error;
    const wasBroken = ran === 'unknown' && !signal.aborted;
    return failed({ ran, message, wasRejected: false, wasBroken });
  }
  const answer = sent.value;
  const metadata = dependencies.targetWire.decodeResponse(answer.statusCode, answer.headers);
  const isSuccess = answer.statusCode >= 200 && answer.statusCode < 300;
  // On a connection that has carried another request, a rejection without an id may be a copy of an earlier one.
  const isUnprovenRejection = metadata.confirmsNotRun && answer.isConnectionReused;
  // Targets may omit the id from an error response, but not from one that the caller would accept as its result.
  const mustNameRequest = isSuccess || isUnprovenRejection || metadata.requestId !== undefined;
  if (mustNameRequest && metadata.requestId !== context.request.requestId) {
    answer.body.discard();
    const message = `the target answered request ${metadata.requestId ?? 'without id'} instead`;
    return failed({ ran: 'unknown', message, wasRejected: false });
  }
  if (metadata.confirmsNotRun) {
    answer.body.discard();
    const message = `the ${candidate.isDaemon ? 'daemon' : 'target'} refused with status ${answer.statusCode}`;
    const { faultyTargetId } = metadata;
    const excuse = candidate.isDaemon ? undefined : excuseOf(metadata);
    return failed({ ran: 'not-run', message, wasRejected: true, faultyTargetId, excuse });
  }
  return { kind: 'answer', matched: { answer, metadata } };
};

const recordReach = (
  { clock, targetTracker }: RelayDependencies,
  { candidate, signal }: SendOptions,
  sent: ClientResult,
) => {
  if (sent.ok) targetTracker.onProgress(candidate.key, clock.monotonicMs());
  else if (!signal.aborted) targetTracker.onUnreached(candidate.key, clock.monotonicMs());
};

const headersFor = (
  { targetWire, callerWire }: RelayDependencies,
  { request, planRevision, customerName, targetPriority, route }: RequestContext,
  { candidate, resumeAfterEventId }: SendOptions,
  remainingMs: number,
): readonly string[] => {
  if (!candidate.isDaemon) {
    const { targetId } = candidate;
    const priority = targetPriority;
    const dispatch = { targetId, customerName, priority, remainingMs, resumeAfterEventId };
    return targetWire.requestHeaders(request, dispatch);
  }
  const { remainingRuns = route.maxTargets } = candidate;
  const handover = { remainingMs, remainingRuns, planRevision, resumeAfterEventId };
  return callerWire.handoverHeaders(request, handover);
};

/** Records what a target says about itself in the head of an answer. */
const recordAnswer = (
  { targetWire, targetLimits, targetSignals }: RelayDependencies,
  targetKey: string,
  { statusCode, headers }: targetClient.TargetResponse,
  sentAtMs: number,
) => {
  const metadata = targetWire.decodeResponse(statusCode, headers);
  const { namedLimit: named, coldRemainingMs } = metadata;
  const isSuccess = statusCode >= 200 && statusCode < 300;
  targetLimits.onAnswer({ targetKey, named, isSuccess, sentAtMs, coldRemainingMs });
  targetSignals.onAnswer(targetKey, metadata);
};

const holdMessages: Readonly<Record<SendHold, string>> = {
  leaving: 'the target has said that it is leaving',
  paused: 'the target has asked for no requests',
  evacuated: 'the failure domain of the target is being emptied',
};

const heldBack = (
  { metrics }: RelayDependencies,
  { service }: RequestContext,
  hold: SendHold,
): SendResult => {
  metrics.heldBackSends.add({ service: service.name, hold });
  const message = holdMessages[hold];
  return failed({ ran: 'not-run', message, wasRejected: false, excuse: 'held-back' });
};

const isEvacuated = ({ evacuations }: RelayDependencies, candidate: Candidate): boolean =>
  !candidate.isDaemon && !evacuations.mayReceive(candidate.failureDomain);

/** Sends a request to one target and reads the head of the response. */
export const sendToTarget = async (
  dependencies: RelayDependencies,
  context: RequestContext,
  options: SendOptions,
): Promise<SendResult> => {
  const { candidate, signal, onWrite } = options;
  const { request } = context;
  const findHold = (): SendHold | undefined =>
    isEvacuated(dependencies, candidate)
      ? 'evacuated'
      : dependencies.targetSignals.holdOf(candidate.key);
  let hold = findHold();
  if (hold !== undefined) return heldBack(dependencies, context, hold);
  let isWithheld = false;
  const remainingMs = Math.floor(context.deadlineAtMs - dependencies.clock.monotonicMs());
  const client = isRepeatable(context.route) ? dependencies.client : dependencies.singleUseClient;
  const sentAtMs = dependencies.clock.monotonicMs();
  const sent = await client.send({
    url: `http://${candidate.address}`,
    path: request.url,
    method: request.method,
    headers: headersFor(dependencies, context, options, Math.max(1, remainingMs)),
    body: context.body,
    signal,
    mayWrite: () => {
      hold = findHold();
      isWithheld = hold !== undefined || !context.isStillAuthorized();
      if (!isWithheld) onWrite();
      return !isWithheld;
    },
  });
  // The client may write a request again whose connection broke, so an earlier write may have reached the target.
  const isHeldBack = !sent.ok && sent.error.ran === 'not-run' && hold !== undefined;
  if (isHeldBack) return heldBack(dependencies, context, hold!);
  const result = toSendResult(dependencies, context, sent, options);
  if (sent.ok || !isWithheld) recordReach(dependencies, options, sent);
  if (sent.ok && !candidate.isDaemon) {
    recordAnswer(dependencies, candidate.key, sent.value, sentAtMs);
  }
  return result;
};
