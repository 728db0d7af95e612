import type * as targetClient from '@comfreydrum/target-client';
import { isConnectionHeader } from './isConnectionHeader';

/** Returns the headers of a target's response that are forwarded to the caller. */
export const forwardedHeadersOf = (
  headers: targetClient.TargetResponse['headers'],
): Readonly<Record<string, string | string[]>> => {
  const { connection } = headers;
  const connectionHeader = connection === undefined ? undefined : String(connection);
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) => {
      if (value === undefined || isConnectionHeader(name, connectionHeader)) return [];
      return [[name, typeof value === 'string' ? value : [...value]]];
    }),
  );
};
