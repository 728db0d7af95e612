/** Hop-by-hop headers, which apply to a single connection and are not forwarded. */
const connectionHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * Reports whether a header is hop-by-hop. `name` is in lower case; `connection` is the value of the Connection header,
 * which may list further names.
 */
export const isConnectionHeader = (name: string, connection: string | undefined): boolean =>
  connectionHeaders.has(name) ||
  (connection?.split(',').some((named) => named.trim().toLowerCase() === name) ?? false);
