import type { KnownGroup } from './createDirectory';
import type { Orders } from './createOrders';

/** Tracks which draining groups have no requests left. */
export interface IdleReader {
  /** Queries the leaders of the draining groups of a fabric domain. */
  readonly read: (fabricDomain: string) => Promise<void>;
  readonly isIdle: (groupId: string) => boolean;
}

/** Creates a monitor of the draining groups among `groups`. */
export const createIdleReader = (
  groups: () => readonly KnownGroup[],
  orders: Pick<Orders, 'readWork'>,
): IdleReader => {
  const idle = new Set<string>();

  const readGroup = async ({ groupId, members }: KnownGroup) => {
    const work = await orders.readWork(members[0]!.url);
    if (work === 0) idle.add(groupId);
    else idle.delete(groupId);
  };

  return {
    read: async (fabricDomain) => {
      const draining = groups().filter(
        (group) => group.fabricDomain === fabricDomain && group.phase === 'draining',
      );
      await Promise.all(draining.map(readGroup));
    },
    isIdle: (groupId) => idle.has(groupId),
  };
};
