import type * as objectStore from '@comfreydrum/object-store';

interface Snapshot {
  readonly atMs: number;
  readonly instances: ReadonlyMap<string, objectStore.ListedInstance>;
}

/** The list of target instances, read as it stood some time ago. */
export interface InstanceList {
  readonly read: (lagMs: number) => readonly objectStore.ListedInstance[];
  readonly get: (instanceId: string) => objectStore.ListedInstance | undefined;
  readonly set: (instance: objectStore.ListedInstance) => void;
  readonly remove: (instanceId: string) => void;
}

const keptMs = 120_000;

/** Creates an empty list on a clock that gives milliseconds. */
export const createInstanceList = (nowMs: () => number): InstanceList => {
  let snapshots: Snapshot[] = [{ atMs: -Infinity, instances: new Map() }];

  const latest = () => snapshots[snapshots.length - 1]!.instances;

  const findLast = (atMs: number) =>
    snapshots.findLast((snapshot) => snapshot.atMs <= atMs) ?? snapshots[0]!;

  const push = (instances: ReadonlyMap<string, objectStore.ListedInstance>) => {
    const oldest = findLast(nowMs() - keptMs);
    snapshots = snapshots.filter(({ atMs }) => atMs >= oldest.atMs);
    snapshots.push({ atMs: nowMs(), instances });
  };

  return {
    read: (lagMs) => [...findLast(nowMs() - lagMs).instances.values()],
    get: (instanceId) => latest().get(instanceId),
    set: (instance) => push(new Map(latest()).set(instance.instanceId, instance)),
    remove: (instanceId) =>
      push(new Map([...latest()].filter(([candidate]) => candidate !== instanceId))),
  };
};
