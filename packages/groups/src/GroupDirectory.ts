/** An instance and its rank in a group; rank 0 is the leader. */
export interface GroupMember {
  readonly instanceId: string;
  readonly url: string;
  readonly failureDomain: string;
  readonly fabricDomain: string;
  readonly rank: number;
}

/** A group that currently accepts requests. */
export interface ServingGroup {
  readonly groupId: string;
  readonly team: string;
  readonly modelName: string;
  readonly modelVersion: string;
  /** The adapters loaded in addition to the model. */
  readonly adapters: readonly string[];
  /** The fencing token sent with every order and dispatch. */
  readonly generation: number;
  readonly members: readonly GroupMember[];
  readonly maxConcurrent: number;
}

/** Lists the groups that accept requests, based on fresh evidence that every member is present. */
export interface GroupDirectory {
  /** Returns the serving groups of a model whose presence evidence is fresh. */
  readonly serving: (team: string, modelName: string) => readonly ServingGroup[];
  /**
   * Reports whether a request may be sent to a group. Must be called in the same event-loop tick as
   * the send.
   */
  readonly maySend: (groupId: string, generation: number) => boolean;
  /** Records a member loss seen while serving requests, such as a reset connection. */
  readonly reportLoss: (groupId: string, generation: number, reason: string) => void;
  /** Calls `listener` when a serving group must stop; returns a function that unsubscribes it. */
  readonly onBroken: (
    listener: (groupId: string, generation: number, reason: string) => void,
  ) => () => void;
}
