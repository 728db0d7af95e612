import type * as fleet from '@comfreydrum/fleet';
import { findObstacle } from './findObstacle';
import type { TargetOrders } from './TargetOrders';

/** A target whose own report agrees with the list. */
export interface ConfirmedMember {
  readonly target: fleet.Target;
  /** Number of orders that the target had begun; an order on this condition is refused if another one came before it. */
  readonly orderCount: number | undefined;
}

/** A target that gave no report, or whose report contradicts the list. */
export interface UnconfirmedMember {
  readonly target: fleet.Target;
  readonly reason: string;
  /** Whether the target gave no report. */
  readonly isSilent: boolean;
}

/** The targets of a group to be formed, by whether they may join it. */
export interface MemberConfirmation {
  readonly confirmed: readonly ConfirmedMember[];
  readonly unconfirmed: readonly UnconfirmedMember[];
}

const reportTimeoutMs = 200;

/** Asks the targets of a group to be formed for their state, as the list may lack the latest orders to them. */
export const confirmMembers = async (
  orders: Pick<TargetOrders, 'probe'>,
  targets: readonly fleet.Target[],
): Promise<MemberConfirmation> => {
  const results = await Promise.all(
    targets.map(async (target): Promise<ConfirmedMember | UnconfirmedMember> => {
      const report = await orders.probe(target, reportTimeoutMs);
      if (!report.ok) return { target, reason: report.error.message, isSilent: true };
      const { startedAtMs, membership, orderCount } = report.value;
      if (startedAtMs !== target.startedAtMs) {
        return { target, reason: 'another run answers', isSilent: false };
      }
      const reason = findObstacle(target.membership, membership);
      return reason === undefined ? { target, orderCount } : { target, reason, isSilent: false };
    }),
  );
  return {
    confirmed: results.flatMap((result) => ('reason' in result ? [] : [result])),
    unconfirmed: results.flatMap((result) => ('reason' in result ? [result] : [])),
  };
};
