import type * as errors from '@comfreydrum/errors';
import type * as targetClient from '@comfreydrum/target-client';
import { crashTargetOf } from './acquireTarget';
import type { GatewayParts } from './GatewayParts';
import { isServiceUp } from './isServiceUp';
import type { RequestContext } from './RequestContext';
import { sendToService } from './sendToService';
import type { ServiceResponse } from './ServiceResponse';
import type { Slot } from './SlotPool';

/** The parameters of one run of a request on a target of a service. */
export interface ServiceRun {
  readonly slot: Slot;
  readonly fingerprint: string;
  /** Identifies the run across all daemons. */
  readonly runId: string;
  readonly signal: AbortSignal;
  readonly mayWrite?: () => boolean;
}

/** Returns the fingerprint of the caller, method, URL and body of a request; idempotency keys are ignored. */
export const fingerprintServiceRequest = (parts: GatewayParts, context: RequestContext): string => {
  const { caller, request, body } = context;
  const content = Buffer.concat([Buffer.from(`${request.method} ${request.url}\n`), body]);
  return parts.dependencies.hasher.fingerprint(caller.customer.name, caller.callerId, content);
};

/** Sends a request to a target and marks the request as suspect if the target is lost. */
export const runOnService = async (
  parts: GatewayParts,
  context: RequestContext,
  { slot, fingerprint, runId, signal, mayWrite }: ServiceRun,
): Promise<errors.Result<ServiceResponse, targetClient.TargetFailure>> => {
  const { candidate } = slot;
  const target = crashTargetOf(candidate);
  parts.guard.onDispatch(runId, fingerprint, target);
  const result = await sendToService(parts, context, candidate, signal, mayWrite);
  const wasReset = !result.ok && result.error.wasReset;
  if (wasReset && !(await isServiceUp(parts, candidate))) await parts.guard.onTargetLost(target);
  parts.guard.onEnd(runId, result.ok ? 'completed' : 'stopped');
  return result;
};
