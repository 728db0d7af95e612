import type * as testing from '@comfreydrum/testing';
import type { GroupInForce } from '../missing-member/storedGroups';
import { checkText, type LoadResult } from '../support/createLoad';
import type { ServingSampler } from './createServingSampler';
import type { Strike } from './strike';

/** How long the load balancer may still route callers to a killed daemon. */
const balancerLagMs = 1_000;
/** The maximum delay of a sample. */
const samplingMs = 100;

type Sampler = Pick<ServingSampler, 'lastServedAtMs' | 'servingBetween'>;

const wentThroughKilled = ({ daemonId, startedAtMs }: LoadResult, struck: Strike): boolean =>
  daemonId === struck.daemonId && startedAtMs <= struck.atMs + balancerLagMs;

/**
 * Returns the other groups of the killed group's version that served before a stream ended, on
 * which it could have resumed.
 */
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
 * Whether a stream failed with the killed group and had no group to resume on. This is so if no
 * other group of its version served before the stream ended, as at the start of a rollout, or if
 * the version stopped being served by then, as at the end of a rollout. A stream may wait that long
 * because the requests of a lost group are rerun only one at a time.
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

/**
 * Describes the killed group, the runs of the stream and the groups that it could have resumed on,
 * for the report.
 */
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

/** Returns the errors of one stream that the injected fault does not explain. */
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
