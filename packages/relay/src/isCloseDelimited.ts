import type * as targetClient from '@comfreydrum/target-client';

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Reports whether only the close of the connection marks the end of a response, so that a complete body can't be
 * distinguished from a truncated one.
 */
export const isCloseDelimited = (
  { statusCode, headers }: targetClient.TargetResponse,
  method: string,
): boolean =>
  method !== 'HEAD' &&
  !bodilessStatuses.has(statusCode) &&
  headers['content-length'] === undefined &&
  headers['transfer-encoding'] === undefined;
