import type * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import type * as routing from '@comfreydrum/routing';
import type { GatewayParts } from './GatewayParts';
import type { Refusal } from './Refusal';
import type { RequestContext } from './RequestContext';
import type { ServiceResponse } from './ServiceResponse';
import { serveIdempotent } from './serveIdempotent';
import type { SlotPool } from './SlotPool';

const cacheableStatus = 200;

const keyOf = (context: RequestContext, routeName: string): routing.LookupKey => ({
  team: context.caller.team.team,
  customer: context.caller.customer.name,
  caller: context.caller.callerId,
  routeName,
  target: JSON.stringify([context.request.url, context.request.headers.accept ?? '']),
});

/**
 * Serves a lookup. Identical concurrent lookups of one caller share one call to the target, and a cached
 * response is used until it expires. Nothing is shared between callers.
 */
export const serveLookup = async (
  parts: GatewayParts,
  context: RequestContext,
  route: configuration.ServiceRoute,
  pool: SlotPool,
): Promise<errors.Result<ServiceResponse, Refusal>> => {
  const { clock } = parts.dependencies;
  const decision = parts.lookups.find(keyOf(context, route.name), clock.monotonicMs());
  if (decision.kind === 'hit') return errors.ok(decision.answer);
  if (decision.kind === 'join') {
    const answer = await decision.answer;
    return answer ? errors.ok(answer) : serveIdempotent(parts, context, route, pool);
  }
  const { flight } = decision;
  try {
    const result = await serveIdempotent(parts, context, route, pool);
    if (result.ok) {
      const keepMs = result.value.statusCode === cacheableStatus ? route.cacheMs : 0;
      flight.succeed(result.value, result.value.body.length, keepMs, clock.monotonicMs());
    }
    return result;
  } finally {
    flight.fail();
  }
};

/** Invalidates the cached responses of a caller, because its current request may change them. */
export const invalidateLookups = (parts: GatewayParts, context: RequestContext): void => {
  const { team, customer, callerId } = context.caller;
  parts.lookups.invalidate({ team: team.team, customer: customer.name, caller: callerId });
};
