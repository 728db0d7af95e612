import type * as fleet from '@comfreydrum/fleet';

const differsByPlan = new WeakMap<fleet.TrafficPlan, ReadonlySet<string>>();

const hasSeveral = (priorities: Iterable<number | undefined>): boolean =>
  new Set(priorities).size > 1;

/** Returns the names of the services whose requests a plan gives different priorities. */
const findRankedServices = (plan: fleet.TrafficPlan): ReadonlySet<string> => {
  const customers = [...(plan.customersByKey?.values() ?? [])];
  const customersDiffer = hasSeveral(customers.map(({ priority }) => priority));
  const names = [...plan.services.keys()];
  return new Set(
    names.filter((name) => {
      const routes = plan.routes.filter(({ shares }) =>
        shares.some(({ serviceName }) => serviceName === name),
      );
      return customersDiffer || hasSeveral(routes.map(({ priority }) => priority));
    }),
  );
};

/**
 * Returns the priority of a request that targets are told: that of the customer, else of the route; undefined where the
 * plan gives all requests to the service the same, or where the costs of its engine aren't configured.
 */
export const targetPriorityOf = (
  plan: fleet.TrafficPlan,
  service: fleet.Service,
  route: fleet.Route,
  customer: fleet.Customer | undefined,
): number | undefined => {
  if (service.engine?.costs === undefined) return undefined;
  const ranked = differsByPlan.get(plan) ?? findRankedServices(plan);
  differsByPlan.set(plan, ranked);
  const priority = Math.max(0, Math.round(customer?.priority ?? route.priority));
  return ranked.has(service.name) ? priority : undefined;
};
