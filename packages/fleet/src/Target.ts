/** The states of a member of a group, as the member reports them. */
export const membershipStates = ['joining', 'ready', 'open', 'closing', 'broken'] as const;

export type MembershipState = (typeof membershipStates)[number];

/** The membership of a target in a group, as the target reports it. */
export interface GroupMembership {
  readonly groupName: string;
  /** Increases with each group that is formed anywhere in the fleet. */
  readonly epoch: number;
  /** Rank 0 is the head, which receives the requests of the group. */
  readonly rank: number;
  readonly state: MembershipState;
}

/** The latest registration of a target. */
export interface Target {
  readonly id: string;
  /** Start time; distinguishes successive processes that register with the same id. */
  readonly startedAtMs: number;
  readonly serviceName: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
  readonly slots: number;
  /** Defined only for targets that form groups. */
  readonly fabricDomain: string | undefined;
  /** Models whose weights are stored on the host of the target. */
  readonly stagedModels: readonly string[];
  /** Models whose weights are in the accelerators' memory. */
  readonly loadedModels: readonly string[];
  readonly membership: GroupMembership | undefined;
  /** How long the target stays cold, from the time of this registration. */
  readonly coldRemainingMs?: number | undefined;
}

type TargetRun = Pick<Target, 'id' | 'startedAtMs'>;

/** Each plan needs the keys of all targets several times. */
const runKeys = new WeakMap<TargetRun, string>();

/** Returns a key that is unique to one run of a target. */
export const runKeyOf = (run: TargetRun): string => {
  const known = runKeys.get(run);
  if (known !== undefined) return known;
  const key = `${run.id}@${run.startedAtMs}`;
  runKeys.set(run, key);
  return key;
};
