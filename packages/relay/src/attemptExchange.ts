import * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import * as targetClient from '@comfreydrum/target-client';
import { forwardedHeadersOf } from './forwardedHeadersOf';
import type { Candidate } from './chooseTarget';
import { isCloseDelimited } from './isCloseDelimited';
import { releaseWithResponse } from './memory/releaseWithResponse';
import type { RelayDependencies } from './RelayDependencies';
import type { RequestContext } from './RequestContext';
import { excuseOf, sendToTarget, type SendFailure } from './sendToTarget';

/** A target's response with its complete body. */
export interface CompleteResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  /** Whether only the close of the connection marks the end of the body. */
  readonly isCloseDelimited: boolean;
}

export type ExchangeResult =
  | { readonly kind: 'answered'; readonly answer: CompleteResponse }
  | { readonly kind: 'failed'; readonly failure: SendFailure };

const maxResponseBytes = 16_777_216;

/** Reads an answer; its bytes count in the budget until the response to the caller is closed. */
const readAnswer = async (
  { answerBudget }: RelayDependencies,
  { request, response }: RequestContext,
  { body, headers }: targetClient.TargetResponse,
  peer: string,
): Promise<errors.Result<Buffer, targetClient.BodyFailure>> => {
  const fail = (message: string) =>
    errors.err<targetClient.BodyFailure>({
      kind: 'answer-too-large',
      step: 'read answer',
      peer,
      message,
    });
  const announcedBytes = request.method === 'HEAD' ? 0 : Number(headers['content-length'] ?? 0);
  if (announcedBytes > maxResponseBytes) {
    body.discard();
    return fail(`the answer of ${peer} has ${announcedBytes} bytes, more than ${maxResponseBytes}`);
  }
  let isEvicted = false;
  const holding = answerBudget.hold(() => {
    isEvicted = true;
    body.discard();
  });
  const read = await targetClient.readWholeBody(body, peer, maxResponseBytes, holding.resize);
  if (!read.ok) holding.release();
  if (isEvicted) {
    const { limitBytes } = answerBudget;
    return fail(
      `the answer of ${peer} was the largest of those in memory, over ${limitBytes} bytes`,
    );
  }
  holding.pin();
  releaseWithResponse(holding, response);
  return read;
};

/** Daemons that stop and targets that leave close their listeners before their last answers end. */
const hasTargetEnded = async (
  { directory, processCheck }: RelayDependencies,
  candidate: Candidate,
): Promise<boolean> => {
  if (candidate.isDaemon || directory.isLeaving(candidate)) return false;
  return processCheck.hasEnded(candidate);
};

/** Sends a request to a target and reads the complete response, until the deadline of the request. */
export const attemptExchange = async (
  dependencies: RelayDependencies,
  context: RequestContext,
  candidate: Candidate,
  stopSignal: AbortSignal,
  onWrite: () => void,
): Promise<ExchangeResult> => {
  const { targetTracker, clock } = dependencies;
  const sentAtMs = clock.monotonicMs();
  const { callerDisconnected, mustEnd } = context;
  const deadline = clocks.createDeadline(Math.ceil(context.deadlineAtMs - sentAtMs), [
    stopSignal,
    callerDisconnected,
    mustEnd,
  ]);
  const { signal } = deadline;
  const isUnwanted = () => stopSignal.aborted || callerDisconnected.aborted || mustEnd.aborted;
  targetTracker.onSend(candidate.key, sentAtMs);
  try {
    const sent = await sendToTarget(dependencies, context, {
      candidate,
      resumeAfterEventId: undefined,
      signal,
      onWrite,
    });
    if (sent.kind === 'failed') {
      const isFault = !isUnwanted() && sent.failure.excuse === undefined;
      if (isFault) targetTracker.onFailure(candidate.key, clock.monotonicMs());
      return sent;
    }
    const { answer, metadata } = sent.matched;
    const read = await readAnswer(dependencies, context, answer, candidate.address);
    const nowMs = clock.monotonicMs();
    if (!isUnwanted()) targetTracker.onProgress(candidate.key, nowMs);
    if (!read.ok) {
      if (!isUnwanted()) targetTracker.onFailure(candidate.key, nowMs);
      const { message } = read.error;
      const wasBroken = !signal.aborted;
      return {
        kind: 'failed',
        failure: { ran: 'unknown', message, wasRejected: false, wasBroken },
      };
    }
    if (answer.statusCode >= 500) {
      if (excuseOf(metadata) === undefined) targetTracker.onFailure(candidate.key, nowMs);
    } else targetTracker.onResponse(candidate.key, nowMs - sentAtMs, nowMs);
    const isFramedByClose = isCloseDelimited(answer, context.request.method);
    if (isFramedByClose && (await hasTargetEnded(dependencies, candidate))) {
      const message = 'the process ended, perhaps before the end of the answer';
      return {
        kind: 'failed',
        failure: { ran: 'unknown', message, wasRejected: false, wasBroken: true },
      };
    }
    const headers = forwardedHeadersOf(answer.headers);
    return {
      kind: 'answered',
      answer: {
        statusCode: answer.statusCode,
        headers,
        body: read.value,
        isCloseDelimited: isFramedByClose,
      },
    };
  } finally {
    deadline.release();
    targetTracker.onEnd(candidate.key);
  }
};
