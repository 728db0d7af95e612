import type * as fleet from '@comfreydrum/fleet';

/**
 * What a group needs.
 *
 * - `forming`: its members still join.
 * - `openable`: every member is ready and the head does not serve yet.
 * - `serving`: the head is open and every member is there.
 * - `closing`: the head finishes or sheds its work.
 * - `must-close`: the head is open and a member is gone or leaves.
 * - `must-leave`: the head does not serve, but an order to open may reach it late; it has to leave first.
 * - `orphaned`: the head is out of sight but may still serve, so that its members stay bound.
 * - `abandoned`: no daemon reaches the head; its members are free once they have left.
 * - `dissolved`: the head does not serve, so that the members that are left are free.
 */
export type GroupVerdict =
  | { readonly kind: 'forming' | 'openable' | 'serving' | 'closing' }
  | { readonly kind: 'must-leave' | 'orphaned' | 'abandoned' | 'dissolved' }
  | { readonly kind: 'must-close'; readonly isMemberGone: boolean };

/** What is known of a group beside what its members report. */
export interface GroupKnowledge {
  readonly groupSize: number;
  /** Whether a listed target is known to be lost all the same. */
  readonly isLost: (target: fleet.Target) => boolean;
  /** Whether the head is known to have started anew or to be in another group, or in none. */
  readonly hasHeadMovedOn: (group: fleet.Group) => boolean;
  /** Whether no daemon reaches the head of a group any more. */
  readonly isHeadGone: (group: fleet.Group) => boolean;
  /** Whether members may still be missing from the list only because they were ordered just now. */
  readonly isBeingFormed: (group: fleet.Group) => boolean;
  /** Whether this controller may let the group serve. */
  readonly mayOpen: (group: fleet.Group) => boolean;
  /** Whether the head of a group may have been ordered to open it. */
  readonly mayBeOpening: (group: fleet.Group) => boolean;
}

/** Judges a group from the reports of its members. */
export const judgeGroup = (group: fleet.Group, knowledge: GroupKnowledge): GroupVerdict => {
  const { groupSize, isLost } = knowledge;
  const { head, members } = group;
  if (knowledge.isBeingFormed(group) && !members.some(isLost)) {
    const isReady =
      members.length === groupSize &&
      members.every(({ membership }) => membership.state === 'ready');
    if (!isReady) return { kind: 'forming' };
  }
  if (head === undefined && knowledge.hasHeadMovedOn(group)) return { kind: 'dissolved' };
  if (head === undefined || isLost(head)) {
    return { kind: knowledge.isHeadGone(group) ? 'abandoned' : 'orphaned' };
  }
  const headState = head.membership.state;
  const isMemberGone = members.length < groupSize || members.some(isLost);
  const isWhole = !isMemberGone && members.every(({ state }) => state === 'live');
  if (headState === 'closing') return { kind: 'closing' };
  if (headState === 'broken') return { kind: 'dissolved' };
  if (headState === 'open') {
    return isWhole ? { kind: 'serving' } : { kind: 'must-close', isMemberGone };
  }
  const isUsable = isWhole && members.every(({ membership }) => membership.state !== 'broken');
  if (!isUsable) {
    return { kind: knowledge.mayBeOpening(group) ? 'must-leave' : 'dissolved' };
  }
  if (members.some(({ membership }) => membership.state !== 'ready')) return { kind: 'forming' };
  return { kind: knowledge.mayOpen(group) ? 'openable' : 'must-leave' };
};
