import * as fleet from '@comfreydrum/fleet';
import type { CallerRequest } from './CallerRequest';

/** What a plan says about a request; the customer is undefined where the route needs no key. */
export type Access =
  | {
      readonly kind: 'allowed';
      readonly route: fleet.Route;
      readonly customer: fleet.Customer | undefined;
    }
  | {
      readonly kind: 'denied';
      readonly cause: 'no-route' | 'unknown-key';
      readonly message: string;
    };

/** Resolves the route and the customer of a request. */
export const resolveAccess = (
  plan: fleet.TrafficPlan,
  { host, path, key }: Pick<CallerRequest, 'host' | 'path' | 'key'>,
): Access => {
  const route = fleet.findRoute(plan, host, path);
  if (route === undefined) {
    return { kind: 'denied', cause: 'no-route', message: `no route of ${host} serves ${path}` };
  }
  if (route.isPublic || plan.customersByKey === undefined) {
    return { kind: 'allowed', route, customer: undefined };
  }
  const customer = key === undefined ? undefined : plan.customersByKey.get(key);
  if (customer !== undefined) return { kind: 'allowed', route, customer };
  const message = 'header Authorization: no customer has this key';
  return { kind: 'denied', cause: 'unknown-key', message };
};
