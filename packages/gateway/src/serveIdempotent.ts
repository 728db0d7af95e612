import type * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import { acquireTarget } from './acquireTarget';
import { tryConsumeRetry } from './tryConsumeRetry';
import { createSlotRequest } from './createSlotRequest';
import { createRequestDeadline } from './createRequestDeadline';
import type { GatewayParts } from './GatewayParts';
import { createRefusal, type ExecutionStatus, type Refusal } from './Refusal';
import type { RequestContext } from './RequestContext';
import { fingerprintServiceRequest, runOnService } from './runOnService';
import type { ServiceResponse } from './ServiceResponse';
import type { SlotPool } from './SlotPool';

/** Admission counts a service request as one token. */
export const serviceRequestContent = { prompt: '', maxOutputTokens: 1 } as const;

const maxAttempts = 3;
const retriedStatuses = new Set([502, 503, 504]);

const runUntil = async (
  signal: AbortSignal,
  parts: GatewayParts,
  context: RequestContext,
  route: configuration.ServiceRoute,
  pool: SlotPool,
): Promise<errors.Result<ServiceResponse, Refusal>> => {
  const triedIds = new Set<string>();
  const fingerprint = fingerprintServiceRequest(parts, context);
  let ran: ExecutionStatus = 'not-run';
  let reason = '';
  for (let attempt = 1; attempt <= maxAttempts && !signal.aborted; attempt += 1) {
    const slotRequest = createSlotRequest(context, route, triedIds, serviceRequestContent);
    const runId = `${context.requestId}/${attempt}`;
    const targetRequest = { pool, admission: slotRequest, fingerprint, runId, isResumed: false };
    const acquisition = await acquireTarget(parts, context, targetRequest);
    if (acquisition.kind === 'refused') {
      return errors.err({ ...acquisition.refusal, ran });
    }
    const { slot } = acquisition;
    const result = await runOnService(parts, context, { slot, fingerprint, runId, signal });
    slot.release();
    if (result.ok && !retriedStatuses.has(result.value.statusCode)) return result;
    triedIds.add(slot.candidate.id);
    reason = result.ok ? `target answered ${result.value.statusCode}` : result.error.message;
    if (result.ok || result.error.ran === 'unknown') ran = 'unknown';
    const wasLost = !result.ok && (result.error.wasReset || result.error.ran === 'not-run');
    if (!wasLost && !tryConsumeRetry(parts, context)) break;
  }
  return errors.err(
    createRefusal({
      step: 'dispatch',
      statusCode: signal.aborted ? 504 : 502,
      code: signal.aborted ? 'deadline_exceeded' : 'target_failed',
      message: `service "${route.service}" did not answer: ${reason}`,
      ran,
      retryAfterMs: 1_000,
    }),
  );
};

/** Sends an idempotent request to a target and retries it on another when the target fails. */
export const serveIdempotent = async (
  parts: GatewayParts,
  context: RequestContext,
  route: configuration.ServiceRoute,
  pool: SlotPool,
): Promise<errors.Result<ServiceResponse, Refusal>> => {
  const { callerDisconnected } = context;
  const deadline = createRequestDeadline(context, parts.dependencies.clock, [callerDisconnected]);
  try {
    return await runUntil(deadline.signal, parts, context, route, pool);
  } finally {
    deadline.release();
  }
};
