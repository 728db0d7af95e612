import * as fleet from '@comfreydrum/fleet';
import { isServingHead } from './isServingHead';

const describe = (membership: fleet.GroupMembership | undefined): string =>
  membership === undefined
    ? 'none'
    : `${fleet.groupKeyOf(membership)} ${membership.rank} ${membership.state}`;

/** Returns why a target may not join a group although the list shows it free, or undefined. */
export const findObstacle = (
  listed: fleet.GroupMembership | undefined,
  reported: fleet.GroupMembership | undefined,
): string | undefined => {
  const isSame =
    listed === undefined || reported === undefined
      ? listed === reported
      : fleet.groupKeyOf(listed) === fleet.groupKeyOf(reported);
  const isServing = reported !== undefined && isServingHead(listed, reported);
  if (isSame && !isServing) return undefined;
  return `listed group ${describe(listed)}, reported group ${describe(reported)}`;
};
