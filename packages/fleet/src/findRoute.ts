import type { Route, TrafficPlan } from './TrafficPlan';

/** Returns the route of the host with the longest path prefix that matches. */
export const findRoute = (plan: TrafficPlan, host: string, path: string): Route | undefined => {
  let best: Route | undefined;
  plan.routes.forEach((route) => {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) return;
    if (best === undefined || route.pathPrefix.length > best.pathPrefix.length) best = route;
  });
  return best;
};
