const neverSentCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Reports whether a call failed before its connection was established, so that no data was sent.
 */
export const wasNeverSent = (cause: unknown): boolean =>
  cause instanceof Error && 'code' in cause && neverSentCodes.has(String(cause.code));
