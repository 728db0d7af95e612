import type * as errors from '@comfreydrum/errors';
import type * as fleet from '@comfreydrum/fleet';

/** An order with a fencing token, so that targets can reject orders of an earlier controller. */
export interface FencedOrder {
  /** Fencing token, which increases with each change of the controller. */
  readonly token: number;
}

/** Identifies a group by its name and epoch. */
export interface GroupRef {
  readonly groupName: string;
  readonly epoch: number;
}

/** An order that makes a target a member of a group. */
export interface JoinOrder extends FencedOrder, GroupRef {
  readonly modelName: string;
  /** The first member is the head. */
  readonly memberIds: readonly string[];
  /** Number of orders that the target must have begun; it refuses the order if another one came first. */
  readonly expectedOrderCount?: number | undefined;
}

/** Whether a closing head finishes its requests or sheds them. */
export type CloseMode = 'finish-work' | 'shed-work';

/**
 * The outcome of an order.
 *
 * - `accepted`: the target is executing the order or is already in the requested state.
 * - `conflict`: the order is not possible in the target's state.
 * - `outdated`: the target has seen a higher fencing token or epoch.
 * - `wrong-target`: the address belongs to another target.
 * - `invalid`: the target does not know the order.
 * - `unanswered`: there was no response; the order may be executed now, later or never.
 */
export type OrderOutcome =
  'accepted' | 'conflict' | 'outdated' | 'wrong-target' | 'invalid' | 'unanswered';

/** A target's response to a probe. */
export interface TargetReport {
  readonly targetId: string | undefined;
  readonly startedAtMs: number;
  /** Factor on the expected processing times; a target with a factor above 1 is slow. */
  readonly paceFactor: number;
  readonly activeRequests: number;
  readonly queuedRequests: number;
  readonly membership: fleet.GroupMembership | undefined;
  /** Number of orders that the target has begun since its start, if it tells. */
  readonly orderCount: number | undefined;
}

/** The reason for a failed probe: a refused connection or no response. */
export type ProbeFailure = errors.Failure<'refused' | 'silent'>;

/** Sends orders and probes to targets. */
export interface TargetOrders {
  readonly join: (target: fleet.Target, order: JoinOrder) => Promise<OrderOutcome>;
  readonly open: (target: fleet.Target, order: FencedOrder & GroupRef) => Promise<OrderOutcome>;
  readonly close: (
    target: fleet.Target,
    order: FencedOrder & GroupRef,
    mode: CloseMode,
  ) => Promise<OrderOutcome>;
  /** Removes a target from its group immediately. */
  readonly leave: (target: fleet.Target, order: FencedOrder & GroupRef) => Promise<OrderOutcome>;
  /** Loads the weights of a model onto the target's host, in parallel with its other work. */
  readonly stage: (
    target: fleet.Target,
    order: FencedOrder & { readonly modelName: string },
  ) => Promise<OrderOutcome>;
  readonly probe: (
    target: fleet.Target,
    timeoutMs: number,
  ) => Promise<errors.Result<TargetReport, ProbeFailure>>;
}
