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

/** The head of a group that a target is listed in and that is taken to be over. */
export interface FormerHead {
  readonly groupKey: string;
  readonly target: fleet.Target;
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

const isServing = (membership: fleet.GroupMembership | undefined): boolean =>
  membership?.rank === 0 && servingStates.includes(membership.state);

/** Returns why a target may not join a group although the list shows it free, or undefined. */
const findObstacle = (
  listed: fleet.GroupMembership | undefined,
  reported: fleet.GroupMembership | undefined,
): string | undefined => {
  const isSame =
    listed === undefined || reported === undefined
      ? listed === reported
      : fleet.groupKeyOf(listed) === fleet.groupKeyOf(reported);
  if (isSame && !isServing(reported)) return undefined;
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

/** Returns the members of groups whose former head reports that it serves them. */
const findServedMembers = async (
  orders: Pick<TargetOrders, 'probe'>,
  targets: readonly fleet.Target[],
  formerHeads: readonly FormerHead[],
): Promise<readonly UnconfirmedMember[]> => {
  const served = await Promise.all(
    formerHeads.map(async ({ groupKey, target: head }) => {
      const report = await orders.probe(head, reportTimeoutMs);
      const membership = report.ok ? report.value.membership : undefined;
      if (membership === undefined || !isServing(membership)) return [];
      if (fleet.groupKeyOf(membership) !== groupKey) return [];
      return targets
        .filter((target) => target.membership && fleet.groupKeyOf(target.membership) === groupKey)
        .map((target) => ({
          target,
          reason: `${groupKey} is ${membership.state}`,
          isSilent: false,
        }));
    }),
  );
  return served.flat();
};

/**
 * Asks the targets of a group to be formed, and the heads of the groups that they were in, for their state, as the list may
 * lack the latest orders to them. A former head that gives no report is left to the list and to the checks of heads.
 */
export const confirmMembers = async (
  orders: Pick<TargetOrders, 'probe'>,
  targets: readonly fleet.Target[],
  formerHeads: readonly FormerHead[] = [],
): Promise<MemberConfirmation> => {
  const [results, served] = await Promise.all([
    Promise.all(targets.map((target) => confirmMember(orders, target))),
    findServedMembers(orders, targets, formerHeads),
  ]);
  return {
    confirmed: results.flatMap((result) => ('reason' in result ? [] : [result])),
    unconfirmed: [...results.flatMap((result) => ('reason' in result ? [result] : [])), ...served],
  };
};
