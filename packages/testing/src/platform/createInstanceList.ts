import type * as objectStore from '@comfreydrum/object-store';

interface Snapshot {
  readonly atMs: number;
  readonly instances: ReadonlyMap<string, objectStore.ListedInstance>;
}

/** The list of target instances; reads can return an earlier state. */
export interface InstanceList {
  /** Returns the instances as of `lagMs` ago. */
  readonly read: (lagMs: number) => readonly objectStore.ListedInstance[];
  readonly get: (instanceId: string) => objectStore.ListedInstance | undefined;
  readonly set: (instance: objectStore.ListedInstance) => void;
  readonly remove: (instanceId: string) => void;
}

const retentionMs = 120_000;

/** Creates an empty list; `nowMs` returns the current time in milliseconds. */
export const createInstanceList = (nowMs: () => number): InstanceList => {
  let snapshots: Snapshot[] = [{ atMs: -Infinity, instances: new Map() }];

  const latest = () => snapshots[snapshots.length - 1]!.instances;

  const findAt = (atMs: number) =>
    snapshots.findLast((snapshot) => snapshot.atMs <= atMs) ?? snapshots[0]!;

  const addSnapshot = (instances: ReadonlyMap<string, objectStore.ListedInstance>) => {
    const oldest = findAt(nowMs() - retentionMs);
    snapshots = snapshots.filter(({ atMs }) => atMs >= oldest.atMs);
    snapshots.push({ atMs: nowMs(), instances });
  };

  return {
    read: (lagMs) => [...findAt(nowMs() - lagMs).instances.values()],
    get: (instanceId) => latest().get(instanceId),
    set: (instance) => addSnapshot(new Map(latest()).set(instance.instanceId, instance)),
    remove: (instanceId) =>
      addSnapshot(new Map([...latest()].filter(([candidate]) => candidate !== instanceId))),
  };
};
