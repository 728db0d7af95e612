import type * as http from 'node:http';

/** Returns the text of the event with the given id. */
export const eventOf = (id: number): string => `id: ${id}\ndata: token-${id}\n\n`;

/** Returns the text of the events from one id to another, inclusive. */
export const eventsOf = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, index) => eventOf(from + index)).join('');

/** Returns the event id after which a request resumes; 0 for the start. */
export const resumeIdOf = (request: http.IncomingMessage): number =>
  Number(request.headers['last-event-id'] ?? 0);

/** Writes the head of the response to a streaming request. */
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

/** Creates a target that immediately streams all events up to `last`, from the requested position. */
export const createStreamTarget =
  (last: number, stamp: string): http.RequestListener =>
  (request, response) => {
    beginStream(request, response, stamp);
    response.end(eventsOf(resumeIdOf(request) + 1, last));
  };
