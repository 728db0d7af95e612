import type * as testing from '@comfreydrum/testing';
import type { GroupInForce } from '../missing-member/groupsInForce';
import { checkText, type LoadResult } from '../support/createLoad';
import type { ServingSampler } from './createServingSampler';
import type { Strike } from './strike';

/** How long the balancer may send callers to a daemon that is gone. */
const balancerLagMs = 1_000;
/** How late a sample may be. */
const samplingMs = 100;

type Sampler = Pick<ServingSampler, 'lastServedAtMs' | 'servingBetween'>;

const wentThroughKilled = ({ daemonId, startedAtMs }: LoadResult, struck: Strike): boolean =>
  daemonId === struck.daemonId && startedAtMs <= struck.atMs + balancerLagMs;

/** Gives the groups of a killed group's version that a stream could have gone on at before it ended. */
const findOtherServing = (
  { groupId, modelVersion }: GroupInForce,
  struckAtMs: number,
  endedAtMs: number,
  sampler: Sampler,
): readonly GroupInForce[] =>
  sampler
    .servingBetween(modelVersion, struckAtMs, endedAtMs + samplingMs)
    .filter((other) => other.groupId !== groupId);

/**
 * Whether a stream broke off with a killed group and had nowhere to go on: until its end no other group of
 * its version served, as at the start of a change, or none did any more afterwards, as at its end. It may
 * have waited for that long: what ran on a lost group runs again only one at a time.
 */
const hadNowhereToGoOn = (
  { outcome, startedAtMs }: LoadResult,
  { group, atMs }: Strike,
  served: readonly testing.ServedRequest[],
  sampler: Sampler,
): boolean => {
  if (group === undefined || outcome.end !== 'error-event') return false;
  const ranThere = served.some(
    ({ requestId, groupId }) => requestId === outcome.requestId && groupId === group.groupId,
  );
  if (!ranThere) return false;
  const endedAtMs = startedAtMs + outcome.durationMs;
  if (endedAtMs + samplingMs >= sampler.lastServedAtMs(group.modelVersion)) return true;
  return findOtherServing(group, atMs, endedAtMs, sampler).length === 0;
};

/** Tells from the killed group, what ran the stream and what served last, why it is not explained. */
const describeStrike = (
  { outcome, startedAtMs }: LoadResult,
  { group, atMs }: Strike,
  served: readonly testing.ServedRequest[],
  sampler: Sampler,
): string => {
  if (group === undefined) return '';
  const nameOf = ({
    groupId,
    generation,
    modelVersion,
  }: Omit<GroupInForce, 'phase' | 'memberIds'>) => `${groupId}@${generation} v${modelVersion}`;
  const runs = served
    .filter(({ requestId }) => requestId === outcome.requestId)
    .map((run) => `${run.groupId} v${run.modelVersion} at ${run.startedAtMs - atMs} ms`);
  const endedAtMs = startedAtMs + outcome.durationMs;
  const others = findOtherServing(group, atMs, endedAtMs, sampler);
  return (
    ` (killed ${nameOf(group)}; ran at ${runs.join(', ')}; ended at ${endedAtMs - atMs} ms;` +
    ` others of its version that served meanwhile: ${others.map(nameOf).join(', ')})`
  );
};

/** Gives what is wrong with one stream that the fault does not explain. */
export const checkStream = (
  result: LoadResult,
  struck: Strike,
  served: readonly testing.ServedRequest[],
  sampler: Sampler,
): readonly string[] => {
  const { end, tokenCount, requestId, error } = result.outcome;
  const isExplained =
    end === 'complete' ||
    wentThroughKilled(result, struck) ||
    hadNowhereToGoOn(result, struck, served, sampler);
  const strikeFacts = describeStrike(result, struck, served, sampler);
  const fault = `stream ${requestId} of ${result.daemonId}: ${end} after ${tokenCount}: ${error}${strikeFacts}`;
  return [...(isExplained ? [] : [fault]), ...checkText(result)];
};
