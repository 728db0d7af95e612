import type * as targetClient from '@comfreydrum/target-client';

/** Returns the request id in a response if it differs from `requestId`, otherwise undefined. */
export const mismatchedRequestId = (
  response: targetClient.TargetResponse,
  requestId: string,
): string | undefined => {
  const echoedId = response.headers['x-request-id'];
  return echoedId === undefined || echoedId === requestId ? undefined : String(echoedId);
};
