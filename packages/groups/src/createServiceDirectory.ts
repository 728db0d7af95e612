import type * as configuration from '@comfreydrum/configuration';
import type { FleetView } from './createFleetView';

/** A target of a plain service, which has no groups. */
export interface ServiceTarget {
  readonly instanceId: string;
  readonly url: string;
  readonly failureDomain: string;
}

/** Lists the targets of plain services that accept requests. */
export interface ServiceDirectory {
  /** Returns the listed targets that are neither known absent nor leaving, sorted by id. */
  readonly targets: (team: string, serviceName: string) => readonly ServiceTarget[];
}

/** Creates the directory of plain services from the fleet view. */
export const createServiceDirectory = (
  store: configuration.ConfigurationStore,
  view: FleetView,
): ServiceDirectory => ({
  targets: (team, serviceName) => {
    const service = store
      .current()
      .find((document) => document.team === team)
      ?.services.find(({ name }) => name === serviceName);
    if (!service) return [];
    return view
      .listed()
      .filter(({ targetKind }) => targetKind === service.targetKind)
      .filter((instance) => view.stateOf(instance) === 'present')
      .map(({ instanceId, url, failureDomain }) => ({ instanceId, url, failureDomain }))
      .sort((left, right) => (left.instanceId < right.instanceId ? -1 : 1));
  },
});
