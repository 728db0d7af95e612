import type * as tinyhttp from '@tinyhttp/app';
import type * as configurations from '@comfreydrum/configuration';
import type { AdminAuthorizer } from './createAdminAuthorizer';
import { readJsonBody } from './readJsonBody';
import { sendFailure } from './sendFailure';

const msPerSecond = 1_000;

const applyStatusCodes: Readonly<Record<configurations.ApplyResult['kind'], number>> = {
  accepted: 200,
  checked: 200,
  conflict: 409,
  invalid: 422,
  unavailable: 503,
};

interface ChangeRequest {
  readonly team: string;
  readonly expected: configurations.ExpectedRevision;
}

const readExpectedRevision = (
  request: tinyhttp.Request,
): configurations.ExpectedRevision | undefined => {
  const header = request.headers['x-expected-revision'];
  if (header === 'none') return 'none';
  return typeof header === 'string' && /^\d+$/.test(header) ? Number(header) : undefined;
};

const readTeam = (document: unknown): unknown =>
  typeof document === 'object' && document !== null && 'team' in document
    ? document.team
    : undefined;

const sendApplyResult = (response: tinyhttp.Response, result: configurations.ApplyResult) => {
  if (result.kind === 'unavailable') {
    const retryAfterSeconds = Math.ceil(result.retryAfterMs / msPerSecond);
    response.setHeader('retry-after', String(retryAfterSeconds));
  }
  response.status(applyStatusCodes[result.kind]).json(result);
};

/** Adds the routes that read and change the configuration of a team. */
export const addConfigurationRoutes = (
  app: tinyhttp.App,
  configuration: configurations.ConfigurationManager,
  authorizer: AdminAuthorizer,
): void => {
  /** Returns the requested change; returns undefined after sending an error response. */
  const readChangeRequest = (
    request: tinyhttp.Request,
    response: tinyhttp.Response,
  ): ChangeRequest | undefined => {
    const { team = '' } = request.params;
    if (!authorizer.canChangeTeam(request, team)) {
      authorizer.sendForbidden(response, `change team "${team}"`);
      return undefined;
    }
    const expected = readExpectedRevision(request);
    if (expected !== undefined) return { team, expected };
    const message = 'header x-expected-revision: expected a number or "none"';
    sendFailure(response, 400, 'invalid_request', message);
    return undefined;
  };

  app.get('/v1/configurations', (_request, response) => {
    response.json(configuration.revisions());
  });

  app.get('/v1/configurations/:team', (request, response) => {
    const { team = '' } = request.params;
    const document = configuration
      .current()
      .find((teamConfiguration) => teamConfiguration.team === team);
    if (document === undefined) {
      const message = `team "${team}" has no configuration in force`;
      sendFailure(response, 404, 'team_not_found', message);
      return;
    }
    response.json({ revision: configuration.revisions()[team], document });
  });

  app.put('/v1/configurations/:team', async (request, response) => {
    const change = readChangeRequest(request, response);
    if (change === undefined) return;
    const body = await readJsonBody(request);
    if (!body.ok) {
      sendFailure(response, 400, 'invalid_request', body.error.message);
      return;
    }
    if (readTeam(body.value) !== change.team) {
      const message = `.team: expected "${change.team}" as in the path`;
      sendFailure(response, 422, 'invalid_request', message);
      return;
    }
    const dryRun = request.query.dryRun === 'true';
    sendApplyResult(response, await configuration.apply(body.value, change.expected, { dryRun }));
  });

  app.delete('/v1/configurations/:team', async (request, response) => {
    const change = readChangeRequest(request, response);
    if (change === undefined) return;
    sendApplyResult(response, await configuration.remove(change.team, change.expected));
  });
};
