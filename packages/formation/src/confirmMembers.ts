import { setTimeout as delay } from 'node:timers/promises';
import * as fleet from '@comfreydrum/fleet';
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
/** A report may be a few hundred ms older than the list; a target that contradicts the list is asked again within this time. */
const reportAttempts = 4;
const reportRetryMs = 100;
const servingStates: readonly fleet.MembershipState[] = ['open', 'closing'];

const describe = (membership: fleet.GroupMembership | undefined): string =>
  membership === undefined
    ? 'none'
    : `${fleet.groupKeyOf(membership)} ${membership.rank} ${membership.state}`;

/** Returns why a target may not join a group although the list shows it free, or undefined. */
const findObstacle = (
  listed: fleet.GroupMembership | undefined,
  reported: fleet.GroupMembership | undefined,
): string | undefined => {
  const isSame =
    listed === undefined || reported === undefined
      ? listed === reported
      : fleet.groupKeyOf(listed) === fleet.groupKeyOf(reported);
  const isServing = reported?.rank === 0 && servingStates.includes(reported.state);
  if (isSame && !isServing) return undefined;
  return `listed group ${describe(listed)}, reported group ${describe(reported)}`;
};

const confirmMember = async (
  orders: Pick<TargetOrders, 'probe'>,
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

/** Asks the targets of a group to be formed for their state, as the list may lack the latest orders to them. */
export const confirmMembers = async (
  orders: Pick<TargetOrders, 'probe'>,
  targets: readonly fleet.Target[],
): Promise<MemberConfirmation> => {
  const results = await Promise.all(targets.map((target) => confirmMember(orders, target)));
  return {
    confirmed: results.flatMap((result) => ('reason' in result ? [] : [result])),
    unconfirmed: results.flatMap((result) => ('reason' in result ? [result] : [])),
  };
};
