import type * as fleet from '@comfreydrum/fleet';

/**
 * The condition of a group, which determines the next order to it.
 *
 * - `forming`: the members are still joining.
 * - `openable`: every member is ready and the head does not serve yet.
 * - `serving`: the head is open and every member is present.
 * - `closing`: the head is finishing or shedding its work.
 * - `must-close`: the head is open and a member is lost or leaving. It sheds its work only if a member surely is lost, as a
 *   silent one may go on with that work.
 * - `must-shed`: the head was to finish its work, and a member surely is lost.
 * - `must-leave`: the head does not serve, but a delayed order could still open it. The head has to leave the
 *   group before the members can be reused.
 * - `orphaned`: the head is lost or not listed but may still serve, so the members can't be reused yet.
 * - `abandoned`: no daemon can reach the head. The members can be reused after they have left the group.
 * - `dissolved`: the head does not serve, so the remaining members can be reused.
 */
export type GroupCondition =
  | { readonly kind: 'forming' | 'openable' | 'serving' | 'closing' }
  | { readonly kind: 'must-leave' | 'orphaned' | 'abandoned' | 'dissolved' }
  | { readonly kind: 'must-shed' }
  | { readonly kind: 'must-close'; readonly isMemberGone: boolean; readonly shedsWork: boolean };

/** Facts about groups that their members do not report. */
export interface GroupContext {
  readonly groupSize: number;
  /** Reports whether a target is considered lost although it is still listed. */
  readonly isLost: (target: fleet.Target) => boolean;
  /** Reports whether a target is lost beyond doubt, rather than only silent. */
  readonly isSurelyLost: (target: fleet.Target) => boolean;
  /** Reports whether this controller has told the head of a group to finish its work. */
  readonly isFinishing: (group: fleet.Group) => boolean;
  /** Reports whether the head has restarted, is in another group or in none, or was never ordered to open. */
  readonly hasHeadLeft: (group: fleet.Group) => boolean;
  /** Reports whether no daemon can reach the head of a group. */
  readonly isHeadGone: (group: fleet.Group) => boolean;
  /** Reports whether the orders to join are so recent that members may not be listed yet. */
  readonly isForming: (group: fleet.Group) => boolean;
  /** Reports whether this controller may open the group. */
  readonly mayOpen: (group: fleet.Group) => boolean;
  /** Reports whether the head of a group may have received, or may still receive, an order to open it. */
  readonly mayBeOpening: (group: fleet.Group) => boolean;
}

/** Determines the condition of a group from the listed state of its members. */
export const evaluateGroup = (group: fleet.Group, context: GroupContext): GroupCondition => {
  const { groupSize, isLost, isSurelyLost } = context;
  const { head, members } = group;
  if (context.isForming(group) && !members.some(isLost)) {
    const isReady =
      members.length === groupSize &&
      members.every(({ membership }) => membership.state === 'ready');
    if (!isReady) return { kind: 'forming' };
  }
  if (head === undefined && context.hasHeadLeft(group)) return { kind: 'dissolved' };
  if (head === undefined || isLost(head)) {
    // Asked in any case, as each question starts a check if one is due.
    const isGone = context.isHeadGone(group);
    // The members must not be reused while a head that is only silent may still serve.
    const mayServe = head !== undefined && !isSurelyLost(head);
    return { kind: !mayServe && isGone ? 'abandoned' : 'orphaned' };
  }
  const headState = head.membership.state;
  const isMemberGone = members.length < groupSize || members.some(isLost);
  const isWhole = !isMemberGone && members.every(({ state }) => state === 'live');
  const isMemberSurelyLost = members.some(isSurelyLost);
  if (headState === 'closing') {
    return { kind: isMemberSurelyLost && context.isFinishing(group) ? 'must-shed' : 'closing' };
  }
  if (headState === 'broken') return { kind: 'dissolved' };
  if (headState === 'open') {
    if (isWhole) return { kind: 'serving' };
    const shedsWork = members.length < groupSize || isMemberSurelyLost;
    return { kind: 'must-close', isMemberGone, shedsWork };
  }
  const isUsable = isWhole && members.every(({ membership }) => membership.state !== 'broken');
  if (!isUsable) {
    return { kind: context.mayBeOpening(group) ? 'must-leave' : 'dissolved' };
  }
  if (members.some(({ membership }) => membership.state !== 'ready')) return { kind: 'forming' };
  return { kind: context.mayOpen(group) ? 'openable' : 'must-leave' };
};
