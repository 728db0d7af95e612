import * as fleet from '@comfreydrum/fleet';

const servingStates: readonly fleet.MembershipState[] = ['open', 'closing'];

/**
 * Reports whether a target serves its group as the head, by its report. A head that is listed as ready is listed so after it has
 * closed, so a report of it closing is older.
 */
export const isServingHead = (
  listed: fleet.GroupMembership | undefined,
  reported: fleet.GroupMembership,
): boolean => {
  if (reported.rank !== 0 || !servingStates.includes(reported.state)) return false;
  const isListedReady =
    listed?.state === 'ready' && fleet.groupKeyOf(listed) === fleet.groupKeyOf(reported);
  return !(isListedReady && reported.state === 'closing');
};
