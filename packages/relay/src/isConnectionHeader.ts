/** Headers that concern only one connection. */
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

/** Tells whether a header, in lower case, concerns one connection; `connection` may name more. */
export const isConnectionHeader = (name: string, connection: string | undefined): boolean =>
  connectionHeaders.has(name) ||
  (connection?.split(',').some((named) => named.trim().toLowerCase() === name) ?? false);
