import type * as http from 'node:http';

/**
 * Ends a response once its body is written to the connection. Node.js takes a connection for idle, and closes it in a
 * planned stop, as soon as the end of its response is called, although bytes may wait for a slow reader.
 */
export const endWhenSent = (response: http.ServerResponse): void => {
  if (response.writableNeedDrain) response.once('drain', () => response.end());
  else response.end();
};
