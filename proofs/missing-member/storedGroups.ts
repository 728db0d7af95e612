import type * as testing from '@comfreydrum/testing';

/** A group as stored in the platform's object of its fabric domain. */
export interface StoredGroup {
  readonly groupId: string;
  readonly generation: number;
  readonly phase: string;
  readonly modelVersion: string;
  readonly memberIds: readonly string[];
}

type GroupObject = Pick<StoredGroup, 'generation' | 'phase' | 'modelVersion'>;

interface DomainObject {
  readonly groups: Readonly<Record<string, GroupObject>>;
  readonly assignments: Readonly<
    Record<string, { readonly groupId: string; readonly rank: number }>
  >;
}

/** Reads every group from the platform, with its members in rank order. */
export const readGroups = async (fleet: testing.Fleet): Promise<readonly StoredGroup[]> => {
  const objects = await fleet.platform.list('fabric-domain');
  return objects.flatMap(({ value }) => {
    const { groups, assignments } = value as DomainObject;
    return Object.entries(groups).map(([groupId, { generation, phase, modelVersion }]) => ({
      groupId,
      generation,
      phase,
      modelVersion,
      memberIds: Object.entries(assignments)
        .filter(([, assignment]) => assignment.groupId === groupId)
        .sort(([, left], [, right]) => left.rank - right.rank)
        .map(([instanceId]) => instanceId),
    }));
  });
};

/** Waits until at least `count` groups serve, and returns them. */
export const waitForGroups = async (
  fleet: testing.Fleet,
  waitUntil: typeof testing.waitUntil,
  count: number,
  timeoutMs: number,
): Promise<readonly StoredGroup[]> => {
  let serving: readonly StoredGroup[] = [];
  const isServing = async () => {
    serving = (await readGroups(fleet)).filter(({ phase }) => phase === 'serving');
    return serving.length >= count;
  };
  await waitUntil(isServing, timeoutMs, `${count} groups to serve`, 100);
  return serving;
};
