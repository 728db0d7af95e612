import * as errors from '@comfreydrum/errors';
import type * as targetClient from '@comfreydrum/target-client';
import { forwardHeaders } from './forwardHeaders';
import type { GatewayParts } from './GatewayParts';
import { readResponse } from './readResponse';
import type { RequestContext } from './RequestContext';
import { mismatchedRequestId } from './mismatchedRequestId';
import type { ServiceResponse } from './ServiceResponse';
import type { Candidate } from './SlotPool';

/**
 * Sends a caller's request to one target of a service and reads the complete response. `mayWrite` is checked
 * in the same tick as the write.
 */
export const sendToService = async (
  parts: GatewayParts,
  context: RequestContext,
  candidate: Candidate,
  signal: AbortSignal,
  mayWrite?: () => boolean,
): Promise<errors.Result<ServiceResponse, targetClient.TargetFailure>> => {
  parts.dependencies.timeline.record('dispatch', {
    requestId: context.requestId,
    peer: candidate.url,
  });
  const sent = await parts.targets.send({
    url: candidate.url,
    path: context.request.url ?? context.path,
    method: context.request.method ?? 'GET',
    headers: forwardHeaders(context.request, context.requestId),
    body: context.body.length > 0 ? context.body : null,
    signal,
    ...(mayWrite && { mayWrite }),
  });
  if (!sent.ok) return sent;
  const otherId = mismatchedRequestId(sent.value, context.requestId);
  if (otherId !== undefined) {
    sent.value.body.discard();
    return errors.err({
      kind: 'target-failed',
      step: 'dispatch',
      peer: candidate.url,
      message: `target ${candidate.url} answered request ${otherId}`,
      ran: 'unknown',
      wasReset: false,
    });
  }
  const result = await readResponse(sent.value, candidate.url, 'application/octet-stream');
  if (result.ok) return result;
  const wasReset = result.error.kind === 'answer-broken';
  return errors.err({ ...result.error, kind: 'target-failed', ran: 'unknown', wasReset });
};
