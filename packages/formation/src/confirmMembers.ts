import { setTimeout as delay } from 'node:timers/promises';
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

/** A target that gave no report, or whose report or whose former head's report contradicts the list. */
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
/** A report may be a few hundred ms older than the list; a target that contradicts the list is asked again within this time. */
const reportAttempts = 4;
const reportRetryMs = 100;

type Probe = Pick<TargetOrders, 'probe'>;

const confirmMember = async (
  orders: Probe,
  target: fleet.Target,
  attemptsLeft = reportAttempts,
): Promise<ConfirmedMember | UnconfirmedMember> => {
  const report = await orders.probe(target, reportTimeoutMs);
  if (!report.ok) return { target, reason: report.error.message, isSilent: true };
  const { startedAtMs, membership, orderCount } = report.value;
  if (startedAtMs !== target.startedAtMs) {
    return { target, reason: 'another run answers', isSilent: false };
  }
  const reason = findObstacle(target.membership, membership);
  if (reason === undefined) return { target, orderCount };
  if (attemptsLeft <= 1) return { target, reason, isSilent: false };
  await delay(reportRetryMs);
  return confirmMember(orders, target, attemptsLeft - 1);
};

/** Reports whether the head of a group says that it serves it; one that gives no report is left to the checks of heads. */
const isHeadServing = async (
  orders: Probe,
  groupKey: string,
  head: fleet.Target,
  attemptsLeft = reportAttempts,
): Promise<boolean> => {
  const report = await orders.probe(head, reportTimeoutMs);
  if (!report.ok || report.value.startedAtMs !== head.startedAtMs) return false;
  const { membership } = report.value;
  if (membership === undefined || fleet.groupKeyOf(membership) !== groupKey) return false;
  const isServing = isServingHead(head.membership, membership);
  if (!isServing || attemptsLeft <= 1) return isServing;
  await delay(reportRetryMs);
  return isHeadServing(orders, groupKey, head, attemptsLeft - 1);
};

/** Returns the groups that the targets are listed in and whose heads, as far as they are known, serve them. */
const findServedGroups = async (
  orders: Probe,
  targets: readonly fleet.Target[],
  headOf: (groupKey: string) => fleet.Target | undefined,
): Promise<ReadonlySet<string>> => {
  const groupKeys = new Set(
    targets.flatMap(({ membership }) => (membership ? [fleet.groupKeyOf(membership)] : [])),
  );
  const served = await Promise.all(
    [...groupKeys].map(async (groupKey) => {
      const head = headOf(groupKey);
      if (head === undefined || targets.some(({ id }) => id === head.id)) return [];
      return (await isHeadServing(orders, groupKey, head)) ? [groupKey] : [];
    }),
  );
  return new Set(served.flat());
};

/**
 * Asks the targets of a group to be formed for their state, as the list may lack the latest orders to them, and the heads of the
 * groups that they are listed in whether they serve. `headOf` returns the head of a group by its key, as it was last listed.
 */
export const confirmMembers = async (
  orders: Probe,
  targets: readonly fleet.Target[],
  headOf: (groupKey: string) => fleet.Target | undefined,
): Promise<MemberConfirmation> => {
  const [results, servedGroups] = await Promise.all([
    Promise.all(targets.map((target) => confirmMember(orders, target))),
    findServedGroups(orders, targets, headOf),
  ]);
  const members = results.map((result): ConfirmedMember | UnconfirmedMember => {
    const { target } = result;
    const groupKey = target.membership && fleet.groupKeyOf(target.membership);
    if ('reason' in result || groupKey === undefined || !servedGroups.has(groupKey)) return result;
    return { target, reason: `the head of its group ${groupKey} serves`, isSilent: false };
  });
  return {
    confirmed: members.flatMap((member) => ('reason' in member ? [] : [member])),
    unconfirmed: members.flatMap((member) => ('reason' in member ? [member] : [])),
  };
};
