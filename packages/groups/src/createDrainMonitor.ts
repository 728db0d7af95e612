import type { KnownGroup } from './createDirectory';
import type { OrderSender } from './createOrderSender';

/** Tracks which draining groups have no requests left. */
export interface DrainMonitor {
  /** Queries the leaders of the draining groups of a fabric domain. */
  readonly poll: (fabricDomain: string) => Promise<void>;
  readonly isIdle: (groupId: string) => boolean;
}

/** Creates a monitor of the draining groups among `groups`. */
export const createDrainMonitor = (
  groups: () => readonly KnownGroup[],
  orders: Pick<OrderSender, 'readWork'>,
): DrainMonitor => {
  const idle = new Set<string>();

  const pollGroup = async ({ groupId, members }: KnownGroup) => {
    const requestCount = await orders.readWork(members[0]!.url);
    if (requestCount === 0) idle.add(groupId);
    else idle.delete(groupId);
  };

  return {
    poll: async (fabricDomain) => {
      const draining = groups().filter(
        (group) => group.fabricDomain === fabricDomain && group.phase === 'draining',
      );
      await Promise.all(draining.map(pollGroup));
    },
    isIdle: (groupId) => idle.has(groupId),
  };
};
