import type * as tinyhttp from '@tinyhttp/app';
import { createTeamResolver } from './createTeamResolver';
import { sendFailure } from './sendFailure';

/** Authorizes requests by the operator's bearer token. */
export interface AdminAuthorizer {
  readonly isOperator: (request: tinyhttp.Request) => boolean;
  readonly canChangeTeam: (request: tinyhttp.Request, team: string) => boolean;
  /** Responds with 403; `subject` completes the sentence "the token may not ...". */
  readonly sendForbidden: (response: tinyhttp.Response, subject: string) => void;
}

/** Creates an authorizer for `tokens`; a token for the team `*` may change every team. */
export const createAdminAuthorizer = (
  tokens: readonly { readonly team: string; readonly tokenSha256: string }[],
): AdminAuthorizer => {
  const resolveTeams = createTeamResolver(tokens);
  return {
    isOperator: (request) => resolveTeams(request.headers.authorization).length > 0,
    canChangeTeam: (request, team) => {
      const teams = resolveTeams(request.headers.authorization);
      return teams.includes(team) || teams.includes('*');
    },
    sendForbidden: (response, subject) =>
      sendFailure(response, 403, 'forbidden', `header Authorization: the token may not ${subject}`),
  };
};
