import type { ClaimRequest } from '../index';

/** An example claim request. */
export const testRequest: ClaimRequest = {
  team: 'navarra-norte',
  customer: 'pamplona',
  caller: 'clerk-7',
  routeName: 'file',
  key: 'waiver-1',
  requestDigest: 'a'.repeat(64),
  requestId: 'request-1',
  windowMs: 86_400_000,
};
