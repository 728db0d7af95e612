import type { FleetLink } from '../FleetLink';

/** In-memory links between daemons in one process, without delay. */
export interface MemoryLinks {
  readonly links: readonly FleetLink[];
  /** Partitions a daemon from the others, or reconnects it. */
  readonly setPartitioned: (instanceId: string, isPartitioned: boolean) => void;
  readonly callCount: () => number;
}

interface Node {
  readonly handlers: Map<string, (params: unknown) => unknown>;
  readonly listeners: Map<string, Parameters<FleetLink['onUpdate']>[1]>;
}

/** Creates the links. Updates and calls arrive immediately; none reach or leave a partitioned daemon. */
export const createMemoryLinks = (ids: readonly string[]): MemoryLinks => {
  const nodes = new Map(
    ids.map((id): [string, Node] => [id, { handlers: new Map(), listeners: new Map() }]),
  );
  const partitionedIds = new Set<string>();
  let callCount = 0;

  const canReach = (from: string, to: string) =>
    from === to || !(partitionedIds.has(from) || partitionedIds.has(to));

  const createLink = (selfId: string): FleetLink => ({
    selfId,
    liveIds: () => ids.filter((id) => canReach(selfId, id)),
    call: async (instanceId, method, params) => {
      callCount += 1;
      if (!canReach(selfId, instanceId)) return undefined;
      return nodes.get(instanceId)?.handlers.get(method)?.(structuredClone(params));
    },
    handle: (method, handler) => nodes.get(selfId)!.handlers.set(method, handler),
    publish: (topic, key, value, remainingMs) =>
      nodes.forEach((node, id) => {
        if (id === selfId || !canReach(selfId, id)) return;
        node.listeners.get(topic)?.({ key, origin: selfId, value, remainingMs });
      }),
    onUpdate: (topic, listener) => {
      const { listeners } = nodes.get(selfId)!;
      listeners.set(topic, listener);
      return () => listeners.delete(topic);
    },
  });

  return {
    links: ids.map(createLink),
    setPartitioned: (instanceId, isPartitioned) => {
      if (isPartitioned) partitionedIds.add(instanceId);
      else partitionedIds.delete(instanceId);
    },
    callCount: () => callCount,
  };
};
