import type { FleetLink } from '../FleetLink';

/** Creates the link of a daemon without peers. */
export const createStandaloneLink = (selfId: string): FleetLink => ({
  selfId,
  liveIds: () => [selfId],
  call: () => Promise.resolve(undefined),
  handle: () => {},
  publish: () => {},
  onUpdate: () => () => {},
});
