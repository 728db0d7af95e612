import type * as tinyhttp from '@tinyhttp/app';
import { createTokenCheck } from './createTokenCheck';
import { sendFailure } from './sendFailure';

/** Authorizes requests by the operator's bearer token. */
export interface AdminAccess {
  readonly isOperator: (request: tinyhttp.Request) => boolean;
  readonly mayChange: (request: tinyhttp.Request, team: string) => boolean;
  /** Responds with 403; `subject` completes the sentence "the token may not ...". */
  readonly refuse: (response: tinyhttp.Response, subject: string) => void;
}

/** Creates an authorizer for `tokens`; a token for the team `*` may change every team. */
export const createAdminAccess = (
  tokens: readonly { readonly team: string; readonly tokenSha256: string }[],
): AdminAccess => {
  const resolveTeams = createTokenCheck(tokens);
  return {
    isOperator: (request) => resolveTeams(request.headers.authorization).length > 0,
    mayChange: (request, team) => {
      const teams = resolveTeams(request.headers.authorization);
      return teams.includes(team) || teams.includes('*');
    },
    refuse: (response, subject) =>
      sendFailure(response, 403, 'forbidden', `header Authorization: the token may not ${subject}`),
  };
};
