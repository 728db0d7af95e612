import type * as testing from '@comfreydrum/testing';
import type { StoredGroup } from '../missing-member/storedGroups';
import { checkText, type LoadResult } from '../support/createLoad';
import type { ServingSampler } from './createServingSampler';
import type { InjectedFault } from './injectFault';

/** How long the load balancer may still route callers to a killed daemon. */
const balancerLagMs = 1_000;
/** The maximum delay of a sample. */
const maxSampleDelayMs = 100;

type Sampler = Pick<ServingSampler, 'lastServedAtMs' | 'servingBetween'>;

const wasSentToKilledDaemon = (
  { daemonId, startedAtMs }: LoadResult,
  injectedFault: InjectedFault,
): boolean =>
  daemonId === injectedFault.daemonId && startedAtMs <= injectedFault.atMs + balancerLagMs;

/**
 * Returns the other groups of the killed group's version that served before a stream ended, on
 * which it could have resumed.
 */
const findOtherServing = (
  { groupId, modelVersion }: StoredGroup,
  injectedAtMs: number,
  endedAtMs: number,
  sampler: Sampler,
): readonly StoredGroup[] =>
  sampler
    .servingBetween(modelVersion, injectedAtMs, endedAtMs + maxSampleDelayMs)
    .filter((other) => other.groupId !== groupId);

/**
 * Whether a stream failed with the killed group and had no group to resume on. This is so if no
 * other group of its version served before the stream ended, as at the start of a rollout, or if
 * the version stopped being served by then, as at the end of a rollout. A stream may wait that long
 * because the requests of a lost group are rerun only one at a time.
 */
const hadNoGroupToResumeOn = (
  { outcome, startedAtMs }: LoadResult,
  { group, atMs }: InjectedFault,
  served: readonly testing.ServedRequest[],
  sampler: Sampler,
): boolean => {
  if (group === undefined || outcome.end !== 'error-event') return false;
  const ranOnKilledGroup = served.some(
    ({ requestId, groupId }) => requestId === outcome.requestId && groupId === group.groupId,
  );
  if (!ranOnKilledGroup) return false;
  const endedAtMs = startedAtMs + outcome.durationMs;
  if (endedAtMs + maxSampleDelayMs >= sampler.lastServedAtMs(group.modelVersion)) return true;
  return findOtherServing(group, atMs, endedAtMs, sampler).length === 0;
};

/**
 * Describes the killed group, the runs of the stream and the groups that it could have resumed on,
 * for the report.
 */
const describeFault = (
  { outcome, startedAtMs }: LoadResult,
  { group, atMs }: InjectedFault,
  served: readonly testing.ServedRequest[],
  sampler: Sampler,
): string => {
  if (group === undefined) return '';
  const nameOf = ({
    groupId,
    generation,
    modelVersion,
  }: Omit<StoredGroup, 'phase' | 'memberIds'>) => `${groupId}@${generation} v${modelVersion}`;
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
  injectedFault: InjectedFault,
  served: readonly testing.ServedRequest[],
  sampler: Sampler,
): readonly string[] => {
  const { end, tokenCount, requestId, error } = result.outcome;
  const isExplained =
    end === 'complete' ||
    wasSentToKilledDaemon(result, injectedFault) ||
    hadNoGroupToResumeOn(result, injectedFault, served, sampler);
  const faultDetails = describeFault(result, injectedFault, served, sampler);
  const violation = `stream ${requestId} of ${result.daemonId}: ${end} after ${tokenCount}: ${error}${faultDetails}`;
  return [...(isExplained ? [] : [violation]), ...checkText(result)];
};
