import * as fleet from '@comfreydrum/fleet';
import { findObstacle } from './findObstacle';
import { isServingHead } from './isServingHead';
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

/**
 * Asks the targets of a group to be formed for their state, as the list may lack the latest orders to them, and the heads of the
 * groups that they are listed in whether they serve. `headOf` returns the head of a group by its key, as far as it is known.
 */
export const confirmMembers = async (
  orders: Pick<TargetOrders, 'probe'>,
  targets: readonly fleet.Target[],
  headOf: (groupKey: string) => fleet.Target | undefined,
): Promise<MemberConfirmation> => {
  const headChecks = new Map<string, Promise<boolean>>();

  const checkHead = async (groupKey: string): Promise<boolean> => {
    const head = headOf(groupKey);
    if (head === undefined || targets.some(({ id }) => id === head.id)) return false;
    const report = await orders.probe(head, reportTimeoutMs);
    if (!report.ok || report.value.startedAtMs !== head.startedAtMs) return false;
    const { membership } = report.value;
    return (
      membership !== undefined &&
      fleet.groupKeyOf(membership) === groupKey &&
      isServingHead(membership)
    );
  };

  const isHeadServing = ({ membership }: fleet.Target): Promise<boolean> => {
    if (membership === undefined) return Promise.resolve(false);
    const groupKey = fleet.groupKeyOf(membership);
    const known = headChecks.get(groupKey) ?? checkHead(groupKey);
    headChecks.set(groupKey, known);
    return known;
  };

  const results = await Promise.all(
    targets.map(async (target): Promise<ConfirmedMember | UnconfirmedMember> => {
      const [report, isTaken] = await Promise.all([
        orders.probe(target, reportTimeoutMs),
        isHeadServing(target),
      ]);
      if (!report.ok) return { target, reason: report.error.message, isSilent: true };
      const { startedAtMs, membership, orderCount } = report.value;
      if (startedAtMs !== target.startedAtMs) {
        return { target, reason: 'another run answers', isSilent: false };
      }
      const reason = isTaken
        ? `the head of its group ${fleet.groupKeyOf(target.membership!)} serves`
        : findObstacle(target.membership, membership);
      return reason === undefined ? { target, orderCount } : { target, reason, isSilent: false };
    }),
  );
  return {
    confirmed: results.flatMap((result) => ('reason' in result ? [] : [result])),
    unconfirmed: results.flatMap((result) => ('reason' in result ? [result] : [])),
  };
};
