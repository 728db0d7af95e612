import type { Assignment, FabricDomainRecord, GroupRecord } from './FabricDomainRecord';

/** A mutable draft of a fabric domain record. It never assigns an instance to two groups. */
export interface DomainDraft {
  /** The generation of the changed record. */
  readonly generation: number;
  readonly group: (groupId: string) => GroupRecord | undefined;
  readonly setGroup: (groupId: string, group: GroupRecord) => void;
  /**
   * Sets the members of a group. Returns false without a change if another group has one of them.
   */
  readonly assign: (groupId: string, members: readonly NewMember[]) => boolean;
  readonly setBootId: (instanceId: string, bootId: string) => void;
  /** Removes a group and its assignments. */
  readonly remove: (groupId: string) => void;
  /** Returns the changed record, or undefined if no group changed. */
  readonly finish: () => FabricDomainRecord | undefined;
}

/** An instance to assign to a group. */
export interface NewMember {
  readonly instanceId: string;
  readonly url: string;
  readonly failureDomain: string;
  readonly acceleratorCount: number;
}

/** Creates a draft with the content of `record`. */
export const createDomainDraft = (record: FabricDomainRecord): DomainDraft => {
  const generation = record.generation + 1;
  const groups = new Map(Object.entries(record.groups));
  const assignments = new Map<string, Assignment>(Object.entries(record.assignments));

  const unassign = (groupId: string) =>
    [...assignments]
      .filter(([, assignment]) => assignment.groupId === groupId)
      .forEach(([instanceId]) => assignments.delete(instanceId));

  const isChanged = () =>
    groups.size !== Object.keys(record.groups).length ||
    [...groups].some(([groupId, group]) => record.groups[groupId] !== group);

  return {
    generation,
    group: (groupId) => groups.get(groupId),
    setGroup: (groupId, group) => groups.set(groupId, group),
    assign: (groupId, members) => {
      const isTaken = members.some(({ instanceId }) => {
        const holder = assignments.get(instanceId)?.groupId;
        return holder !== undefined && holder !== groupId;
      });
      if (isTaken) return false;
      unassign(groupId);
      members.forEach(({ instanceId, url, failureDomain, acceleratorCount }, rank) =>
        assignments.set(instanceId, { groupId, rank, url, failureDomain, acceleratorCount }),
      );
      return true;
    },
    setBootId: (instanceId, bootId) => {
      const assignment = assignments.get(instanceId);
      if (assignment) assignments.set(instanceId, { ...assignment, bootId });
    },
    remove: (groupId) => {
      unassign(groupId);
      groups.delete(groupId);
    },
    finish: () =>
      isChanged()
        ? {
            ...record,
            generation,
            groups: Object.fromEntries(groups),
            assignments: Object.fromEntries(assignments),
          }
        : undefined,
  };
};
