import type * as http from 'node:http';

/** Writes an event with the given id. */
export const eventOf = (id: number): string => `id: ${id}\ndata: token-${id}\n\n`;

/** Gives the text of the events from one id to another. */
export const eventsOf = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, index) => eventOf(from + index)).join('');

/** The id after which a request asks to go on; 0 for the start. */
export const resumeIdOf = (request: http.IncomingMessage): number =>
  Number(request.headers['last-event-id'] ?? 0);

/** Begins the answer to a streaming request. */
export const beginStream = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  stamp: string,
): void => {
  request.resume();
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-id': String(request.headers['x-id']),
    'x-stamp': stamp,
  });
};

/** A target that streams events up to `last` at once, from where it is asked to. */
export const streamTo =
  (last: number, stamp: string): http.RequestListener =>
  (request, response) => {
    beginStream(request, response, stamp);
    response.end(eventsOf(resumeIdOf(request) + 1, last));
  };
