import type * as configuration from '@comfreydrum/configuration';

const matchesPath = (pattern: string, path: string): boolean =>
  pattern.endsWith('/*') ? path.startsWith(pattern.slice(0, -1)) : pattern === path;

/** Finds the first route of a team for a method and a path without its query. */
export const findRoute = (
  team: configuration.Configuration,
  method: string,
  path: string,
): configuration.Route | undefined =>
  team.routes.find((route) => route.method === method && matchesPath(route.path, path));
