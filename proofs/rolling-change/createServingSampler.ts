import type * as testing from '@comfreydrum/testing';
import { readGroups, type StoredGroup } from '../missing-member/storedGroups';
import { startSampling } from '../support/startSampling';

/** The groups of a fleet as stored on the platform at one time. */
export interface GroupsSample {
  readonly atMs: number;
  readonly groups: readonly StoredGroup[];
}

/** Samples the groups stored on the platform. */
export interface ServingSampler {
  readonly latest: () => readonly StoredGroup[];
  /** Returns the sample with the fewest serving groups. */
  readonly fewestServing: () => GroupsSample;
  /**
   * Returns the time of the last sample in which a group of the version served; 0 if there is none.
   */
  readonly lastServedAtMs: (modelVersion: string) => number;
  /** Returns the groups of the version that served in any sample of the interval. */
  readonly servingBetween: (
    modelVersion: string,
    fromMs: number,
    toMs: number,
  ) => readonly StoredGroup[];
  readonly stop: () => Promise<void>;
}

const intervalMs = 50;

export const countServing = (groups: readonly StoredGroup[]): number =>
  groups.filter(({ phase }) => phase === 'serving').length;

const findServing = (groups: readonly StoredGroup[], version: string): readonly StoredGroup[] =>
  groups.filter(({ phase, modelVersion }) => phase === 'serving' && modelVersion === version);

/** Samples until stopped. `first` holds the groups before the first sample. */
export const createServingSampler = (
  fleet: testing.Fleet,
  initialGroups: readonly StoredGroup[],
): ServingSampler => {
  let latest = initialGroups;
  let fewestServing: GroupsSample = { atMs: Date.now(), groups: initialGroups };
  const samples: GroupsSample[] = [];

  const sample = async () => {
    const groups = await readGroups(fleet);
    latest = groups;
    samples.push({ atMs: Date.now(), groups });
    if (countServing(groups) < countServing(fewestServing.groups))
      fewestServing = { atMs: Date.now(), groups };
  };

  const sampling = startSampling(sample, intervalMs);
  return {
    latest: () => latest,
    fewestServing: () => fewestServing,
    lastServedAtMs: (modelVersion) =>
      samples.findLast(({ groups }) => findServing(groups, modelVersion).length > 0)?.atMs ?? 0,
    servingBetween: (modelVersion, fromMs, toMs) =>
      samples
        .filter(({ atMs }) => atMs >= fromMs && atMs <= toMs)
        .flatMap(({ groups }) => findServing(groups, modelVersion)),
    stop: sampling.stop,
  };
};
