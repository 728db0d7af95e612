import type * as configuration from '@comfreydrum/configuration';
import type { GatewayParts } from './GatewayParts';
import { createRefusal, type Refusal } from './Refusal';
import type { RequestContext } from './RequestContext';
import { serveIdempotent } from './serveIdempotent';
import { invalidateLookups, serveLookup } from './serveLookup';
import { serveNonIdempotent } from './serveNonIdempotent';
import type { SlotPool } from './SlotPool';
import { writeResponse } from './writeResponse';

const serveByKind = (
  parts: GatewayParts,
  context: RequestContext,
  route: configuration.ServiceRoute,
  pool: SlotPool,
  isLookup: boolean,
) => {
  if (isLookup) return serveLookup(parts, context, route, pool);
  return route.idempotent || route.idempotency === undefined
    ? serveIdempotent(parts, context, route, pool)
    : serveNonIdempotent(parts, context, route, route.idempotency, pool);
};

/** Serves a request to a service. Returns the refusal, or undefined if a response was sent. */
export const serveServiceRequest = async (
  parts: GatewayParts,
  context: RequestContext,
  route: configuration.ServiceRoute,
): Promise<Refusal | undefined> => {
  const { team } = context.caller;
  const service = team.services.find(({ name }) => name === route.service);
  if (service === undefined) {
    return createRefusal({
      step: 'find service',
      statusCode: 404,
      code: 'service_not_found',
      message: `service "${route.service}" does not exist for team "${team.team}"`,
    });
  }
  const pool = parts.pools.service(team.team, service);
  const isLookup = route.idempotent && context.request.method === 'GET';
  if (!isLookup) invalidateLookups(parts, context);
  const result = await serveByKind(parts, context, route, pool, isLookup);
  if (!isLookup) invalidateLookups(parts, context);
  if (!result.ok) return result.error;
  writeResponse(context, result.value);
  return undefined;
};
