import * as http from 'node:http';
import * as lifecycle from '@comfreydrum/lifecycle';
import * as peers from '@comfreydrum/peers';

/** A plain-text HTTP response. */
export interface TextResponse {
  readonly statusCode: number;
  readonly text: string;
}

/** Creates an HTTP listener that answers every request with the result of `createResponse`. */
export const createTextListener = (
  name: string,
  listen: string,
  createResponse: () => Promise<TextResponse> | TextResponse,
): lifecycle.Component => {
  const server = http.createServer((request, response) => {
    request.resume();
    Promise.resolve()
      .then(createResponse)
      .then(({ statusCode, text }) => {
        response.writeHead(statusCode, { 'content-type': 'text/plain' }).end(text);
      })
      .catch(() => response.destroy());
  });

  return {
    name,
    start: () => lifecycle.listen(server, peers.parseAddress(listen)),
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
