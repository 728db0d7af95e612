import type * as objectStore from '@comfreydrum/object-store';
import type { GroupGeneration } from './createEvidenceStore';
import type { KnownGroup } from './createDirectory';
import type { GroupMember } from './GroupDirectory';
import type { PlacementInstance } from './placement/PlacementPolicy';

/** The status of a group as shown to operators. */
export interface GroupStatus {
  readonly groupId: string;
  readonly team: string;
  readonly modelName: string;
  readonly modelVersion: string;
  readonly fabricDomain: string;
  readonly phase: KnownGroup['phase'];
  readonly generation: number;
  /** Milliseconds since every member was known present; null if never. */
  readonly evidenceAgeMs: number | null;
  readonly maySend: boolean;
  readonly members: readonly GroupMember[];
}

/** A present instance with accelerators that belongs to no serving group. */
export interface StrandedInstance {
  readonly instanceId: string;
  readonly fabricDomain: string;
  readonly acceleratorCount: number;
  /** The group that the instance is assigned to, if any. */
  readonly groupId: string | null;
}

/** The groups and stranded instances known to one daemon. */
export interface GroupsStatus {
  readonly groups: readonly GroupStatus[];
  readonly stranded: readonly StrandedInstance[];
}

/** The inputs of the status. */
export interface StatusOptions {
  readonly groups: readonly KnownGroup[];
  readonly listed: readonly objectStore.ListedInstance[];
  readonly stateOf: (instance: objectStore.ListedInstance) => PlacementInstance['state'];
  readonly evidenceAgeMs: (group: GroupGeneration) => number;
  readonly maySend: (group: GroupGeneration) => boolean;
}

/** Describes all groups, and the present instances whose accelerators are unused. */
export const describeStatus = (options: StatusOptions): GroupsStatus => {
  const groups = options.groups.map((group) => {
    const ageMs = options.evidenceAgeMs(group);
    return {
      groupId: group.groupId,
      team: group.team,
      modelName: group.modelName,
      modelVersion: group.modelVersion,
      fabricDomain: group.fabricDomain,
      phase: group.phase,
      generation: group.generation,
      evidenceAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
      maySend: options.maySend(group),
      members: group.members,
    };
  });
  const holders = new Map(
    groups.flatMap((group) => group.members.map(({ instanceId }) => [instanceId, group] as const)),
  );
  const stranded = options.listed
    .filter((instance) => options.stateOf(instance) === 'present')
    .filter(({ instanceId }) => holders.get(instanceId)?.phase !== 'serving')
    .filter(({ acceleratorCount }) => acceleratorCount > 0)
    .map(({ instanceId, fabricDomain, acceleratorCount }) => {
      const groupId = holders.get(instanceId)?.groupId ?? null;
      return { instanceId, fabricDomain, acceleratorCount, groupId };
    });
  return { groups, stranded };
};
