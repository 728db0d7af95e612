import type * as fleet from '@comfreydrum/fleet';
import type { FabricDomain } from './assignModels';

/** Groups targets by their fabric domain; the domains are ordered by name. */
export const collectDomains = (targets: readonly fleet.Target[]): readonly FabricDomain[] => {
  const byName = new Map<string, fleet.Target[]>();
  targets.forEach((target) => {
    const { fabricDomain } = target;
    if (fabricDomain === undefined) return;
    byName.set(fabricDomain, [...(byName.get(fabricDomain) ?? []), target]);
  });
  return [...byName]
    .map(([name, members]) => ({
      name,
      failureDomain: members[0]!.failureDomain,
      targets: members,
    }))
    .sort((one, other) => one.name.localeCompare(other.name));
};
