import type * as http from 'node:http';

/**
 * Returns a signal that aborts when the caller closes its connection before the response is complete. The end of the
 * caller's side counts at once; Node reports the close of the response only some event loop iterations later.
 */
export const watchCaller = (
  message: http.IncomingMessage,
  response: http.ServerResponse,
): AbortSignal => {
  const { socket } = message;
  const disconnect = new AbortController();
  const abort = () => {
    if (!response.writableFinished) disconnect.abort(new Error('the caller closed the connection'));
  };
  socket.once('end', abort);
  // The response itself learns nothing while it waits for an earlier one on the same connection.
  socket.once('close', abort);
  response.once('close', () => {
    socket.off('end', abort);
    socket.off('close', abort);
    abort();
  });
  return disconnect.signal;
};
