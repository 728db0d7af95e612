import * as testing from '@comfreydrum/testing';
import type { FilingResult } from './createFilings';
import type { LoadResult } from './createLoad';
import type { DirectedRefusals } from './provokedRefusals';

/** The requests and filings that were reported as not run. */
export interface Told {
  readonly notRunIds: ReadonlySet<string>;
  readonly notRunDigests: ReadonlySet<string>;
  readonly notRunKeys: ReadonlySet<string>;
}

/**
 * Collects what was reported as not run. Each key of `filings` must have been submitted only once.
 */
export const collectTold = (
  streams: readonly LoadResult[],
  limited: readonly testing.CompletionOutcome[],
  filings: readonly FilingResult[],
  directed: readonly DirectedRefusals[],
  refusedIds: readonly string[],
): Told => {
  const notRunStreams = streams.filter(({ outcome }) => outcome.ran === 'not-run');
  const limitedIds = limited
    .filter(({ ran }) => ran === 'not-run')
    .map(({ requestId }) => requestId);
  return {
    notRunIds: new Set([
      ...notRunStreams.map(({ outcome }) => outcome.requestId),
      ...limitedIds,
      ...directed.flatMap(({ notRunIds }) => notRunIds),
      ...refusedIds,
    ]),
    // Each stream of the load has a unique prompt, and each filing a unique key.
    notRunDigests: new Set(notRunStreams.map(({ prompt }) => testing.sha256Hex(prompt))),
    notRunKeys: new Set([
      ...filings.filter(({ ran }) => ran === 'not-run').map(({ key }) => key),
      ...directed.flatMap(({ notRunKeys }) => notRunKeys),
    ]),
  };
};

/** Finds requests and filings that a target ran although they were reported as not run. */
export const findLies = async (fleet: testing.Fleet, told: Told): Promise<readonly string[]> => {
  const started = fleet.engines.flatMap((engine) => engine.started());
  const runs = await fleet.services[0]!.runs();
  const ranStreams = started.filter(
    ({ requestId, promptDigest }) =>
      told.notRunIds.has(requestId) || told.notRunDigests.has(promptDigest),
  );
  const ranFilings = runs.filter(
    ({ key, requestId }) => told.notRunKeys.has(key) || told.notRunIds.has(requestId),
  );
  return [
    ...ranStreams.map((run) => `reported as not run, but an engine ran ${JSON.stringify(run)}`),
    ...ranFilings.map((run) => `reported as not run, but the service ran ${JSON.stringify(run)}`),
  ];
};
