import * as testing from '@comfreydrum/testing';
import type { FilingResult } from './createFilings';
import type { LoadResult } from './createLoad';
import type { ProvokedRefusals } from './provokedRefusals';

/** The requests and filings that were reported as not run. */
export interface NotRunReports {
  readonly notRunIds: ReadonlySet<string>;
  readonly notRunDigests: ReadonlySet<string>;
  readonly notRunKeys: ReadonlySet<string>;
}

/**
 * Collects what was reported as not run. Each key of `filings` must have been submitted only once.
 */
export const collectNotRunReports = (
  streams: readonly LoadResult[],
  limited: readonly testing.CompletionOutcome[],
  filings: readonly FilingResult[],
  provoked: readonly ProvokedRefusals[],
  refusedIds: readonly string[],
): NotRunReports => {
  const notRunStreams = streams.filter(({ outcome }) => outcome.ran === 'not-run');
  const limitedIds = limited
    .filter(({ ran }) => ran === 'not-run')
    .map(({ requestId }) => requestId);
  return {
    notRunIds: new Set([
      ...notRunStreams.map(({ outcome }) => outcome.requestId),
      ...limitedIds,
      ...provoked.flatMap(({ notRunIds }) => notRunIds),
      ...refusedIds,
    ]),
    // Each stream of the load has a unique prompt, and each filing a unique key.
    notRunDigests: new Set(notRunStreams.map(({ prompt }) => testing.sha256Hex(prompt))),
    notRunKeys: new Set([
      ...filings.filter(({ ran }) => ran === 'not-run').map(({ key }) => key),
      ...provoked.flatMap(({ notRunKeys }) => notRunKeys),
    ]),
  };
};

/** Finds requests and filings that a target ran although they were reported as not run. */
export const findFalseReports = async (
  fleet: testing.Fleet,
  reports: NotRunReports,
): Promise<readonly string[]> => {
  const started = fleet.engines.flatMap((engine) => engine.startedRequests());
  const runs = await fleet.services[0]!.runs();
  const ranStreams = started.filter(
    ({ requestId, promptDigest }) =>
      reports.notRunIds.has(requestId) || reports.notRunDigests.has(promptDigest),
  );
  const ranFilings = runs.filter(
    ({ key, requestId }) => reports.notRunKeys.has(key) || reports.notRunIds.has(requestId),
  );
  return [
    ...ranStreams.map((run) => `reported as not run, but an engine ran ${JSON.stringify(run)}`),
    ...ranFilings.map((run) => `reported as not run, but the service ran ${JSON.stringify(run)}`),
  ];
};
