import type * as http from 'node:http';

const forwardedNames = ['content-type', 'accept', 'accept-language', 'idempotency-key'] as const;

/** Returns the headers of a caller's request that are forwarded to a target of a service. */
export const forwardHeaders = (
  request: http.IncomingMessage,
  requestId: string,
): Readonly<Record<string, string>> => ({
  ...Object.fromEntries(
    forwardedNames.flatMap((name) => {
      const value = request.headers[name];
      return typeof value === 'string' ? [[name, value]] : [];
    }),
  ),
  'x-request-id': requestId,
});
