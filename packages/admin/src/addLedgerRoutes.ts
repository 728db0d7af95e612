import type * as tinyhttp from '@tinyhttp/app';
import * as errors from '@comfreydrum/errors';
import type * as ledgers from '@comfreydrum/ledger';
import * as zod from 'zod';
import type { AdminAuthorizer } from './createAdminAuthorizer';
import { readJsonBody } from './readJsonBody';
import { sendFailure } from './sendFailure';

const failureStatusCodes: Readonly<Record<ledgers.LedgerAdminFailure['kind'], number>> = {
  platform: 503,
  'not-found': 404,
  running: 409,
  'too-early': 409,
};

const resolutionSchema = zod.strictObject({
  claimId: zod.string().min(1),
  outcome: zod.enum(['ran', 'not-run']),
  who: zod.string().min(1).max(200),
});

const sendLedgerFailure = (
  response: tinyhttp.Response,
  { kind, message }: ledgers.LedgerAdminFailure,
): void => sendFailure(response, failureStatusCodes[kind], kind, message);

/**
 * Returns the requested resolution of a claim; returns undefined after sending an error response.
 */
const readResolution = async (request: tinyhttp.Request, response: tinyhttp.Response) => {
  const body = await readJsonBody(request);
  const checked = resolutionSchema.safeParse(body.ok ? body.value : undefined);
  if (checked.success) return checked.data;
  const message = errors.describeIssues(checked.error.issues).join('; ');
  sendFailure(response, 400, 'invalid_request', body.ok ? message : body.error.message);
  return undefined;
};

/**
 * Adds the routes that list and resolve claims with an unknown outcome; each operator has access
 * only to the claims of their teams.
 */
export const addLedgerRoutes = (
  app: tinyhttp.App,
  ledger: ledgers.LedgerAdmin,
  authorizer: AdminAuthorizer,
): void => {
  app.get('/v1/ledger/unknown', async (request, response) => {
    const unknownClaims = await ledger.listUnknown();
    if (!unknownClaims.ok) {
      sendLedgerFailure(response, unknownClaims.error);
      return;
    }
    response.json(
      unknownClaims.value.filter(({ subject }) => authorizer.canChangeTeam(request, subject.team)),
    );
  });

  app.post('/v1/ledger/resolve', async (request, response) => {
    const resolution = await readResolution(request, response);
    if (resolution === undefined) return;
    const { claimId, outcome, who } = resolution;
    const unknownClaims = await ledger.listUnknown();
    if (!unknownClaims.ok) {
      sendLedgerFailure(response, unknownClaims.error);
      return;
    }
    const claim = unknownClaims.value.find((candidate) => candidate.claimId === claimId);
    if (claim && !authorizer.canChangeTeam(request, claim.subject.team)) {
      authorizer.sendForbidden(response, `resolve claims of team "${claim.subject.team}"`);
      return;
    }
    const resolved = await ledger.resolve(claimId, outcome, who);
    if (resolved.ok) response.json({ claimId, outcome, who });
    else sendLedgerFailure(response, resolved.error);
  });
};
