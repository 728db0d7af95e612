import type { Route, TrafficPlan } from './TrafficPlan';

/** Finds the route with the longest prefix of the path among those of the host. */
export const findRoute = (plan: TrafficPlan, host: string, path: string): Route | undefined => {
  let best: Route | undefined;
  plan.routes.forEach((route) => {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) return;
    if (best === undefined || route.pathPrefix.length > best.pathPrefix.length) best = route;
  });
  return best;
};
