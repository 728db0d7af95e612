import type * as http from 'node:http';

/** Makes an answer end with its connection, as the target's did; call it before the head is written. */
export const leaveUnframed = (response: http.ServerResponse): void => {
  Object.assign(response, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
};
