import * as errors from '@comfreydrum/errors';
import type * as ledger from '@comfreydrum/ledger';
import { createRefusal, type Refusal } from './Refusal';
import type { ServiceResponse } from './ServiceResponse';

const step = 'claim';

const toResponse = (stored: ledger.StoredResponse): ServiceResponse => ({
  statusCode: stored.statusCode,
  contentType: stored.contentType,
  body: Buffer.from(stored.bodyBase64, 'base64'),
});

const responseWithoutBody: ServiceResponse = {
  statusCode: 200,
  contentType: 'application/json',
  body: Buffer.from(JSON.stringify({ ran: true, message: 'the answer was too large to keep' })),
};

/** Converts a claim decision other than a grant into the response or refusal for the caller. */
export const respondFromLedger = (
  decision: Exclude<ledger.ClaimDecision, { readonly kind: 'granted' }>,
): errors.Result<ServiceResponse, Refusal> => {
  const refuse = (fields: Omit<Parameters<typeof createRefusal>[0], 'step'>) =>
    errors.err(createRefusal({ step, ...fields }));
  switch (decision.kind) {
    case 'ran':
      return errors.ok(decision.answer ? toResponse(decision.answer) : responseWithoutBody);
    case 'running':
      return refuse({
        statusCode: 409,
        code: 'request_running',
        message: 'a request with this key is running',
        ran: 'unknown',
        retryAfterMs: decision.retryAfterMs,
      });
    case 'unknown':
      return refuse({
        statusCode: 409,
        code: 'outcome_unknown',
        message: 'whether the request with this key ran is not known yet',
        ran: 'unknown',
        retryAfterMs: decision.retryAfterMs,
      });
    case 'key-reused':
      return refuse({
        statusCode: 422,
        code: 'idempotency_key_reused',
        message: 'the Idempotency-Key was used for a different request',
      });
    case 'refused':
      return refuse({
        statusCode: 503,
        code: 'ledger_unavailable',
        message: decision.reason,
        retryAfterMs: decision.retryAfterMs,
      });
    default:
      return errors.unreachable(decision);
  }
};
