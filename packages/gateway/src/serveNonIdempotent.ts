import { createHash } from 'node:crypto';
import type * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import type * as ledger from '@comfreydrum/ledger';
import { acquireTarget } from './acquireTarget';
import { respondFromLedger } from './respondFromLedger';
import { createSlotRequest } from './createSlotRequest';
import { createRequestDeadline } from './createRequestDeadline';
import type { GatewayParts } from './GatewayParts';
import { createRefusal, type Refusal } from './Refusal';
import type { RequestContext } from './RequestContext';
import { fingerprintServiceRequest, runOnService } from './runOnService';
import { serviceRequestContent } from './serveIdempotent';
import type { ServiceResponse } from './ServiceResponse';
import type { Slot, SlotPool } from './SlotPool';

const step = 'claim';
const keyPattern = /^[\x21-\x7e]{1,255}$/;

const digestRequest = (context: RequestContext): string =>
  createHash('sha256')
    .update(`${context.request.method} ${context.request.url}\n`)
    .update(context.body)
    .digest('hex');

const findKey = (
  context: RequestContext,
  idempotency: configuration.Idempotency,
  requestDigest: string,
): errors.Result<string, Refusal> => {
  if (idempotency.key === 'body-digest') return errors.ok(requestDigest);
  const key = context.request.headers['idempotency-key'];
  if (typeof key === 'string' && keyPattern.test(key)) return errors.ok(key);
  return errors.err(
    createRefusal({
      step,
      statusCode: 400,
      code: 'idempotency_key_required',
      message: 'header Idempotency-Key: expected 1 to 255 printable characters without spaces',
    }),
  );
};

const toRunOutcome = (response: ServiceResponse, keptAnswerBytes: number): ledger.RunOutcome =>
  response.body.length > keptAnswerBytes
    ? { kind: 'ran' }
    : {
        kind: 'ran',
        answer: {
          statusCode: response.statusCode,
          contentType: response.contentType,
          bodyBase64: response.body.toString('base64'),
        },
      };

const refuseFailedRun = (
  ran: 'not-run' | 'unknown',
  message: string,
): errors.Result<ServiceResponse, Refusal> =>
  errors.err(
    createRefusal({
      step: 'dispatch',
      statusCode: 502,
      code: ran === 'unknown' ? 'outcome_unknown' : 'target_failed',
      message,
      ran,
      retryAfterMs: 1_000,
    }),
  );

const runGranted = async (
  parts: GatewayParts,
  context: RequestContext,
  idempotency: configuration.Idempotency,
  grant: ledger.Grant,
  run: { readonly slot: Slot; readonly fingerprint: string; readonly runId: string },
): Promise<errors.Result<ServiceResponse, Refusal>> => {
  const { dependencies } = parts;
  const finish = (outcome: ledger.RunOutcome) => {
    void dependencies.ledger.finish(grant, outcome);
  };
  if (context.callerDisconnected.aborted) {
    finish({ kind: 'not-run' });
    return refuseFailedRun('not-run', 'the request was given up before it was sent');
  }
  const deadline = createRequestDeadline(context, dependencies.clock);
  const result = await runOnService(parts, context, {
    ...run,
    signal: deadline.signal,
    mayWrite: grant.tryDispatch,
  }).finally(deadline.release);
  if (result.ok) {
    finish(toRunOutcome(result.value, idempotency.keptAnswerBytes));
    return result;
  }
  finish({ kind: result.error.ran });
  return refuseFailedRun(result.error.ran, result.error.message);
};

/**
 * Looks up an earlier run with the same key in the ledger, without waiting for a permit: the caller of a
 * suspect request can read its outcome while the request itself must wait. Returns undefined when the
 * request did not run.
 */
const findEarlierRun = async (
  parts: GatewayParts,
  claim: () => Promise<ledger.ClaimDecision>,
): Promise<errors.Result<ServiceResponse, Refusal> | undefined> => {
  const decision = await claim();
  if (decision.kind !== 'granted') return respondFromLedger(decision);
  await parts.dependencies.ledger.finish(decision.grant, { kind: 'not-run' });
  return undefined;
};

/** Runs a non-idempotent request once, or returns the recorded outcome of a run with the same key. */
export const serveNonIdempotent = async (
  parts: GatewayParts,
  context: RequestContext,
  route: configuration.ServiceRoute,
  idempotency: configuration.Idempotency,
  pool: SlotPool,
): Promise<errors.Result<ServiceResponse, Refusal>> => {
  const requestDigest = digestRequest(context);
  const key = findKey(context, idempotency, requestDigest);
  if (!key.ok) return key;
  const claim = () =>
    parts.dependencies.ledger.claim(
      {
        team: context.caller.team.team,
        customer: context.caller.customer.name,
        caller: context.caller.callerId,
        routeName: route.name,
        key: key.value,
        requestDigest,
        requestId: context.requestId,
        windowMs: idempotency.windowMs,
      },
      context.deadlineAtMs,
    );
  const fingerprint = fingerprintServiceRequest(parts, context);
  if (parts.guard.check(fingerprint).kind !== 'clear') {
    const earlierRun = await findEarlierRun(parts, claim);
    if (earlierRun !== undefined) return earlierRun;
  }
  const slotRequest = createSlotRequest(context, route, new Set(), serviceRequestContent);
  const runId = `${context.requestId}/1`;
  const targetRequest = { pool, admission: slotRequest, fingerprint, runId, isResumed: false };
  const acquisition = await acquireTarget(parts, context, targetRequest);
  if (acquisition.kind === 'refused') return errors.err(acquisition.refusal);
  const { slot } = acquisition;
  try {
    const decision = await claim();
    if (decision.kind !== 'granted') return respondFromLedger(decision);
    const run = { slot, fingerprint, runId };
    return await runGranted(parts, context, idempotency, decision.grant, run);
  } finally {
    parts.guard.permits.release(runId);
    slot.release();
  }
};
