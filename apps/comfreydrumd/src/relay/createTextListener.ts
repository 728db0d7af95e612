import * as http from 'node:http';
import * as lifecycle from '@comfreydrum/lifecycle';
import * as peers from '@comfreydrum/peers';

/** An answer in plain text. */
export interface TextAnswer {
  readonly statusCode: number;
  readonly text: string;
}

/** Creates a listener that answers every request in the same way. */
export const createTextListener = (
  name: string,
  listen: string,
  answer: () => Promise<TextAnswer> | TextAnswer,
): lifecycle.Part => {
  const server = http.createServer((request, response) => {
    request.resume();
    Promise.resolve()
      .then(answer)
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
