import type * as errors from '@comfreydrum/errors';
import type * as fleet from '@comfreydrum/fleet';

/** What every order carries against orders of an earlier controller. */
export interface Fence {
  /** The fencing token: rises with each change of the controller. */
  readonly token: number;
}

/** Names a group at one epoch. */
export interface GroupRef {
  readonly groupName: string;
  readonly epoch: number;
}

/** Makes a target a member of a group. */
export interface JoinOrder extends Fence, GroupRef {
  readonly modelName: string;
  /** The first one is the head. */
  readonly memberIds: readonly string[];
}

/** What becomes of the work of a head that closes. */
export type CloseMode = 'finish-work' | 'shed-work';

/**
 * What became of an order.
 *
 * - `accepted`: it has begun, or what it asks already holds.
 * - `conflict`: it does not fit the target's state.
 * - `outdated`: the target has seen a higher fencing token or epoch.
 * - `wrong-target`: another target has the address.
 * - `invalid`: the target knows no such order.
 * - `unanswered`: it may be carried out now, later or never.
 */
export type OrderOutcome =
  'accepted' | 'conflict' | 'outdated' | 'wrong-target' | 'invalid' | 'unanswered';

/** What a target tells of itself when it is asked. */
export interface TargetReport {
  readonly targetId: string | undefined;
  readonly startedAtMs: number;
  /** Factor on the usual times; over 1 the target is slow. */
  readonly paceFactor: number;
  readonly activeRequests: number;
  readonly queuedRequests: number;
}

/** Why a target gave no report. */
export type ProbeFailure = errors.Failure<'refused' | 'silent'>;

/** Gives orders to targets and asks how they are. */
export interface TargetOrders {
  readonly join: (target: fleet.Target, order: JoinOrder) => Promise<OrderOutcome>;
  readonly open: (target: fleet.Target, order: Fence & GroupRef) => Promise<OrderOutcome>;
  readonly close: (
    target: fleet.Target,
    order: Fence & GroupRef,
    mode: CloseMode,
  ) => Promise<OrderOutcome>;
  /** Takes a target out of its group at once. */
  readonly leave: (target: fleet.Target, order: Fence & GroupRef) => Promise<OrderOutcome>;
  /** Loads the weights of a model onto the target's host, beside whatever else it does. */
  readonly stage: (
    target: fleet.Target,
    order: Fence & { readonly modelName: string },
  ) => Promise<OrderOutcome>;
  readonly probe: (
    target: fleet.Target,
    timeoutMs: number,
  ) => Promise<errors.Result<TargetReport, ProbeFailure>>;
}
