import type * as http from 'node:http';

/** Makes a response close-delimited, like the target's own; must be called before the head is written. */
export const makeCloseDelimited = (response: http.ServerResponse): void => {
  Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
};
