import type * as targetClient from '@comfreydrum/target-client';
import type { GatewayParts } from './GatewayParts';
import type { ModelRequest } from './parseModelRequest';
import type { ExecutionStatus } from './Refusal';
import { readResponse } from './readResponse';
import { relayTokens } from './relayTokens';
import type { RequestContext } from './RequestContext';
import { mismatchedRequestId } from './mismatchedRequestId';
import type { Slot } from './SlotPool';
import { writeResponse } from './writeResponse';

/** The result of one attempt. A failed attempt may be resumed on another group after `deliveredTokens`. */
export type AttemptResult =
  | { readonly kind: 'answered' }
  | {
      readonly kind: 'failed';
      readonly ran: Extract<ExecutionStatus, 'not-run' | 'unknown'>;
      readonly deliveredTokens: number;
      readonly reason: string;
      readonly wasReset: boolean;
    };

/** The request, the slot and the first token of one attempt. */
export interface Attempt {
  readonly priority: 'interactive' | 'batch';
  readonly slot: Slot;
  readonly modelRequest: ModelRequest;
  readonly deliveredTokens: number;
}

const stallTimeoutMs = 10_000;
const enginePriorities = { interactive: 0, batch: 1 } as const;
const refusedByTargetStatuses = new Set([409, 429, 503]);

const targetBody = (attempt: Attempt): string =>
  JSON.stringify({
    ...attempt.modelRequest,
    priority: enginePriorities[attempt.priority],
    ...(attempt.deliveredTokens > 0 ? { resume_from_token: attempt.deliveredTokens } : {}),
  });

const writeStreamHead = ({ response, requestId }: RequestContext) => {
  if (response.headersSent) return;
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    'x-request-id': requestId,
    'x-comfreydrum-ran': 'ran',
  });
};

const createTokenRecorder = (parts: GatewayParts, context: RequestContext, attempt: Attempt) => {
  const { clock } = parts.dependencies;
  let lastTokenAtMs: number | undefined;
  return () => {
    const nowMs = clock.monotonicMs();
    if (lastTokenAtMs !== undefined) parts.metrics.betweenTokensMs.record(nowMs - lastTokenAtMs);
    else if (attempt.deliveredTokens === 0) {
      parts.metrics.firstTokenMs.record(nowMs - context.startedAtMs);
    }
    lastTokenAtMs = nowMs;
    attempt.slot.onToken();
  };
};

const relayStream = async (
  parts: GatewayParts,
  context: RequestContext,
  attempt: Attempt,
  targetResponse: targetClient.TargetResponse,
  abort: AbortController,
): Promise<AttemptResult> => {
  writeStreamHead(context);
  const stallTimer = setTimeout(() => {
    if (context.response.writableNeedDrain) stallTimer.refresh();
    else abort.abort(new Error(`the target sent nothing for ${stallTimeoutMs} ms`));
  }, stallTimeoutMs);
  const result = await relayTokens({
    body: targetResponse.body,
    response: context.response,
    requestId: context.requestId,
    deliveredTokens: attempt.deliveredTokens,
    onToken: createTokenRecorder(parts, context, attempt),
    onChunk: () => stallTimer.refresh(),
  });
  clearTimeout(stallTimer);
  parts.metrics.tokens.add({}, result.deliveredTokens - attempt.deliveredTokens);
  if (result.kind !== 'broken') return { kind: 'answered' };
  return {
    kind: 'failed',
    ran: 'unknown',
    deliveredTokens: result.deliveredTokens,
    reason: result.reason,
    wasReset: !abort.signal.aborted,
  };
};

const relayComplete = async (
  context: RequestContext,
  attempt: Attempt,
  targetResponse: targetClient.TargetResponse,
  abort: AbortController,
): Promise<AttemptResult> => {
  const read = await readResponse(targetResponse, attempt.slot.candidate.url, 'application/json');
  if (!read.ok) {
    const { kind, message: reason } = read.error;
    const wasReset = kind === 'answer-broken' && !abort.signal.aborted;
    return { kind: 'failed', ran: 'unknown', deliveredTokens: 0, reason, wasReset };
  }
  writeResponse(context, read.value, targetResponse.statusCode < 400 ? 'ran' : 'unknown');
  return { kind: 'answered' };
};

const relayResponse = async (
  parts: GatewayParts,
  context: RequestContext,
  attempt: Attempt,
  targetResponse: targetClient.TargetResponse,
  abort: AbortController,
): Promise<AttemptResult> => {
  const fail = (ran: 'not-run' | 'unknown', reason: string, wasReset = false): AttemptResult => {
    targetResponse.body.discard();
    const { deliveredTokens } = attempt;
    return { kind: 'failed', ran, deliveredTokens, reason, wasReset };
  };
  const otherId = mismatchedRequestId(targetResponse, context.requestId);
  if (otherId !== undefined) return fail('unknown', `the target answered request ${otherId}`);
  if (refusedByTargetStatuses.has(targetResponse.statusCode)) {
    return fail('not-run', `the target answered ${targetResponse.statusCode}`);
  }
  if (targetResponse.statusCode >= 500)
    return fail('unknown', `the target answered ${targetResponse.statusCode}`);
  try {
    return attempt.modelRequest.stream === true && targetResponse.statusCode === 200
      ? await relayStream(parts, context, attempt, targetResponse, abort)
      : await relayComplete(context, attempt, targetResponse, abort);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return fail('unknown', reason, !abort.signal.aborted);
  }
};

/** Sends a request to one group and relays its response until it completes or fails. */
export const attemptModelRequest = async (
  parts: GatewayParts,
  context: RequestContext,
  attempt: Attempt,
): Promise<AttemptResult> => {
  const { dependencies, inFlight, targets } = parts;
  const { candidate } = attempt.slot;
  const { deliveredTokens } = attempt;
  const abort = new AbortController();
  const abortForCaller = () => abort.abort(new Error('the caller closed the connection'));
  context.callerDisconnected.addEventListener('abort', abortForCaller, { once: true });
  const remainingMs = context.deadlineAtMs - dependencies.clock.monotonicMs();
  const deadlineTimer = setTimeout(
    () => abort.abort(new Error('the deadline of the request passed')),
    Math.max(0, remainingMs),
  );
  const removeInFlight = inFlight.add({
    groupId: candidate.id,
    generation: candidate.generation,
    abort: (reason) => abort.abort(new Error(reason)),
  });

  try {
    if (!dependencies.groups.maySend(candidate.id, candidate.generation)) {
      const reason = `group ${candidate.id} no longer serves`;
      return { kind: 'failed', ran: 'not-run', deliveredTokens, reason, wasReset: false };
    }
    dependencies.timeline.record('dispatch', {
      requestId: context.requestId,
      groupId: candidate.id,
      generation: candidate.generation,
      peer: candidate.url,
      text: attempt.slot.choice,
    });
    const sent = await targets.send({
      url: candidate.url,
      path: context.path,
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'x-request-id': context.requestId,
        'x-group-id': candidate.id,
        'x-generation': String(candidate.generation),
      },
      body: targetBody(attempt),
      signal: abort.signal,
      mayWrite: () => dependencies.groups.maySend(candidate.id, candidate.generation),
    });
    if (sent.ok) return await relayResponse(parts, context, attempt, sent.value, abort);
    const { message, ran, wasReset } = sent.error;
    if (wasReset) dependencies.groups.reportLoss(candidate.id, candidate.generation, message);
    return { kind: 'failed', ran, deliveredTokens, reason: message, wasReset };
  } finally {
    clearTimeout(deadlineTimer);
    removeInFlight();
    context.callerDisconnected.removeEventListener('abort', abortForCaller);
  }
};
