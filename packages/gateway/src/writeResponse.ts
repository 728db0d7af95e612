import type { ExecutionStatus } from './Refusal';
import type { RequestContext } from './RequestContext';
import type { ServiceResponse } from './ServiceResponse';

/** Writes the complete response of a target to the caller. */
export const writeResponse = (
  context: RequestContext,
  response: ServiceResponse,
  ran: ExecutionStatus = 'ran',
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
