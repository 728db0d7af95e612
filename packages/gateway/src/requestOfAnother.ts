import type * as targetClient from '@comfreydrum/target-client';

/** Gives the id of the other request that an answer belongs to; undefined for an answer to this one. */
export const requestOfAnother = (
  answer: targetClient.TargetResponse,
  requestId: string,
): string | undefined => {
  const echoed = answer.headers['x-request-id'];
  return echoed === undefined || echoed === requestId ? undefined : String(echoed);
};
