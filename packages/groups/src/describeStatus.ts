import type * as objectStore from '@comfreydrum/object-store';
import type { GroupAt } from './createEvidence';
import type { KnownGroup } from './createDirectory';
import type { GroupMember } from './GroupDirectory';
import type { PlacementInstance } from './placement/PlacementPolicy';

/** A group as operators see it. */
export interface GroupStatus {
  readonly groupId: string;
  readonly team: string;
  readonly modelName: string;
  readonly modelVersion: string;
  readonly fabricDomain: string;
  readonly phase: KnownGroup['phase'];
  readonly generation: number;
  /** How long ago every member was known present; null when never. */
  readonly evidenceAgeMs: number | null;
  readonly maySend: boolean;
  readonly members: readonly GroupMember[];
}

/** An instance that is present and in no group that serves. */
export interface StrandedInstance {
  readonly instanceId: string;
  readonly fabricDomain: string;
  readonly acceleratorCount: number;
  /** The group that holds it without serving, if any. */
  readonly groupId: string | null;
}

/** The groups and stranded instances as one daemon knows them. */
export interface GroupsStatus {
  readonly groups: readonly GroupStatus[];
  readonly stranded: readonly StrandedInstance[];
}

/** What a status is computed from. */
export interface StatusOptions {
  readonly groups: readonly KnownGroup[];
  readonly listed: readonly objectStore.ListedInstance[];
  readonly conditionOf: (instance: objectStore.ListedInstance) => PlacementInstance['state'];
  readonly evidenceAgeMs: (group: GroupAt) => number;
  readonly maySend: (group: GroupAt) => boolean;
}

/** Describes all groups, and the instances whose accelerators do no work. */
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
    .filter((instance) => options.conditionOf(instance) === 'present')
    .filter(({ instanceId }) => holders.get(instanceId)?.phase !== 'serving')
    .filter(({ acceleratorCount }) => acceleratorCount > 0)
    .map(({ instanceId, fabricDomain, acceleratorCount }) => {
      const groupId = holders.get(instanceId)?.groupId ?? null;
      return { instanceId, fabricDomain, acceleratorCount, groupId };
    });
  return { groups, stranded };
};
