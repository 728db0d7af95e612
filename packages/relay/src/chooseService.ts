import type * as fleet from '@comfreydrum/fleet';

/** Selects the service of a request by the weights of its route; `fraction` is a random number in [0, 1). */
export const chooseService = (
  plan: fleet.TrafficPlan,
  route: fleet.Route,
  fraction: number,
): fleet.Service | undefined => {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  const drawn =
    route.shares.find(({ weight }) => {
      remaining -= weight;
      return remaining < 0;
    }) ?? route.shares[0];
  return drawn && plan.services.get(drawn.serviceName);
};
