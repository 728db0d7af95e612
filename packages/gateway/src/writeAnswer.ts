import type { RanState } from './Refusal';
import type { RequestContext } from './RequestContext';
import type { ServiceAnswer } from './ServiceAnswer';

/** Writes the complete response of a target to the caller. */
export const writeAnswer = (
  context: RequestContext,
  response: ServiceAnswer,
  ran: RanState = 'ran',
): void => {
  if (context.response.destroyed) return;
  context.response.writeHead(response.statusCode, {
    'content-type': response.contentType,
    'content-length': response.body.length,
    'x-request-id': context.requestId,
    'x-comfreydrum-ran': ran,
  });
  context.response.end(response.body);
};
