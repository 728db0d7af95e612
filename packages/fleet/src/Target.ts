/** The states of a member of a group, as the member reports them. */
export const membershipStates = ['joining', 'ready', 'open', 'closing', 'broken'] as const;

export type MembershipState = (typeof membershipStates)[number];

/** A target's place in a group. */
export interface GroupMembership {
  readonly groupName: string;
  /** Rises with each forming of a group, over the whole fleet. */
  readonly epoch: number;
  /** 0 is the head, to which requests are sent. */
  readonly rank: number;
  readonly state: MembershipState;
}

/** A target as it last registered itself. */
export interface Target {
  readonly id: string;
  /** Tells runs of one id apart. */
  readonly startedAtMs: number;
  readonly serviceName: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
  readonly slots: number;
  /** Given for targets that form groups. */
  readonly fabricDomain: string | undefined;
  /** Models whose weights are on the host. */
  readonly stagedModels: readonly string[];
  /** Models whose weights are in the accelerators' memory. */
  readonly loadedModels: readonly string[];
  readonly membership: GroupMembership | undefined;
}

/** Names one run of a target. */
export const runKeyOf = ({ id, startedAtMs }: Pick<Target, 'id' | 'startedAtMs'>): string =>
  `${id}@${startedAtMs}`;
