import type { GroupMembership, Target } from './Target';

/** A target that reports membership in a group. */
export interface GroupMember extends Target {
  readonly membership: GroupMembership;
}

/** All targets that report the same group name and epoch. */
export interface Group {
  /** Built from the name and epoch by `groupKeyOf`. */
  readonly key: string;
  readonly name: string;
  readonly epoch: number;
  readonly modelName: string;
  /** Undefined while no listed target reports rank 0. */
  readonly head: GroupMember | undefined;
  /** Sorted by rank. */
  readonly members: readonly GroupMember[];
}

const separator = '.';

/**
 * Returns the name of a group. The name contains the model name because targets do not report their
 * model until they are ready.
 */
export const formatGroupName = (modelName: string, epoch: number): string =>
  `${modelName}${separator}${epoch}`;

const modelNameOf = (groupName: string): string =>
  groupName.slice(0, Math.max(0, groupName.lastIndexOf(separator)));

const hasMembership = (target: Target): target is GroupMember => target.membership !== undefined;

/** Returns a key that is unique to a group at one epoch. */
export const groupKeyOf = ({
  groupName,
  epoch,
}: Pick<GroupMembership, 'groupName' | 'epoch'>): string => `${groupName}@${epoch}`;

/** Collects targets by the group and epoch that they report. */
export const groupsOf = (targets: Iterable<Target>): readonly Group[] => {
  const membersByKey = new Map<string, GroupMember[]>();
  for (const target of targets) {
    if (!hasMembership(target)) continue;
    const key = groupKeyOf(target.membership);
    membersByKey.set(key, [...(membersByKey.get(key) ?? []), target]);
  }
  return [...membersByKey].map(([key, unordered]) => {
    const members = unordered.sort((one, other) => one.membership.rank - other.membership.rank);
    const { groupName, epoch } = members[0]!.membership;
    return {
      key,
      name: groupName,
      epoch,
      modelName: modelNameOf(groupName),
      head: members.find(({ membership }) => membership.rank === 0),
      members,
    };
  });
};
