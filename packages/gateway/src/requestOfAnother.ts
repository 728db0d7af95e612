import type * as targetClient from '@comfreydrum/target-client';

/** Returns the request id in a response if it differs from `requestId`, otherwise undefined. */
export const requestOfAnother = (
  answer: targetClient.TargetAnswer,
  requestId: string,
): string | undefined => {
  const echoed = answer.headers['x-request-id'];
  return echoed === undefined || echoed === requestId ? undefined : String(echoed);
};
