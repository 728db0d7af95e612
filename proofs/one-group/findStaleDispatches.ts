import type { StoredGroup } from '../missing-member/storedGroups';
import type { Dispatch } from '../missing-member/readDispatches';
import type { LoadedSample } from './createMembershipSampler';

const toleranceMs = 2_000;

/**
 * Returns since when the instance had another group loaded at the time of the dispatch, or
 * undefined if it had none.
 */
const otherGroupSinceMs = (
  samples: readonly LoadedSample[],
  instanceId: string,
  { groupId, generation, atMs }: Dispatch,
): number | undefined => {
  let sinceMs: number | undefined;
  samples
    .filter((sample) => sample.instanceId === instanceId && sample.atMs <= atMs)
    .forEach((sample) => {
      const isOther =
        sample.groupId !== '' && (sample.groupId !== groupId || sample.generation !== generation);
      if (!isOther) sinceMs = undefined;
      else sinceMs ??= sample.atMs;
    });
  return sinceMs;
};

/**
 * Finds dispatches to a group after one of its members had loaded another group, beyond a
 * tolerance.
 */
export const findStaleDispatches = (
  dispatches: readonly Dispatch[],
  groups: readonly StoredGroup[],
  samples: readonly LoadedSample[],
): readonly string[] =>
  dispatches.flatMap((dispatch) => {
    const group = groups.find(
      ({ groupId, generation }) =>
        groupId === dispatch.groupId && generation === dispatch.generation,
    );
    return (group?.memberIds ?? []).flatMap((instanceId) => {
      const sinceMs = otherGroupSinceMs(samples, instanceId, dispatch);
      const lateMs = sinceMs === undefined ? 0 : dispatch.atMs - sinceMs;
      return lateMs > toleranceMs
        ? [
            `${dispatch.source} dispatched to ${dispatch.groupId} ${lateMs} ms after ${instanceId} had loaded another group`,
          ]
        : [];
    });
  });
