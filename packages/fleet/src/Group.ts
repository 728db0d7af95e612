import type { GroupMembership, Target } from './Target';

/** A target with its place in a group. */
export interface GroupMember extends Target {
  readonly membership: GroupMembership;
}

/** The targets that report the same group and epoch. */
export interface Group {
  /** The name and epoch. */
  readonly key: string;
  readonly name: string;
  readonly epoch: number;
  readonly modelName: string;
  /** Undefined while no listed target reports rank 0. */
  readonly head: GroupMember | undefined;
  /** In the order of their ranks. */
  readonly members: readonly GroupMember[];
}

const separator = '.';

/** Makes the name of a group; it carries the model, which targets do not report before they are ready. */
export const formGroupName = (modelName: string, epoch: number): string =>
  `${modelName}${separator}${epoch}`;

const modelNameOf = (groupName: string): string =>
  groupName.slice(0, Math.max(0, groupName.lastIndexOf(separator)));

const hasMembership = (target: Target): target is GroupMember => target.membership !== undefined;

/** Names a group at one epoch. */
export const groupKeyOf = ({
  groupName,
  epoch,
}: Pick<GroupMembership, 'groupName' | 'epoch'>): string => `${groupName}@${epoch}`;

/** Collects targets into the groups that they report. */
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
