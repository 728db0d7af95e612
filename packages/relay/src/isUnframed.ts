import type * as targetClient from '@comfreydrum/target-client';

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Tells whether an answer ends only with its connection, so that nobody can tell a whole body from one
 * that was cut off.
 */
export const isUnframed = (
  { statusCode, headers }: targetClient.TargetAnswer,
  method: string,
): boolean =>
  method !== 'HEAD' &&
  !bodilessStatuses.has(statusCode) &&
  headers['content-length'] === undefined &&
  headers['transfer-encoding'] === undefined;
