import type * as http from 'node:http';

/** Sends a JSON response, unless the connection is closed or a header was already sent. */
export const sendJson = (response: http.ServerResponse, status: number, body: unknown): void => {
  if (response.destroyed || response.headersSent) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};
