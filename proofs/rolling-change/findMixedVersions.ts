import type * as testing from '@comfreydrum/testing';

/** Finds requests whose tokens came from more than one model version. */
export const findMixedVersions = (served: readonly testing.ServedRequest[]): readonly string[] => {
  const runsByRequest = new Map<string, testing.ServedRequest[]>();
  [...served]
    .sort((left, right) => left.startedAtMs - right.startedAtMs)
    .forEach((run) => {
      runsByRequest.set(run.requestId, [...(runsByRequest.get(run.requestId) ?? []), run]);
    });
  return [...runsByRequest].flatMap(([requestId, runs]) => {
    // A run delivered tokens to the caller if the next run resumes at a later token than this one.
    const deliveringRuns = runs.filter((run, index) => {
      const next = runs[index + 1];
      return next === undefined || next.resumedFromToken > run.resumedFromToken;
    });
    const versions = new Set(deliveringRuns.map(({ modelVersion }) => modelVersion));
    return versions.size > 1 ? [`request ${requestId} mixes versions ${[...versions].join()}`] : [];
  });
};
