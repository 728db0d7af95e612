import type * as testing from '@comfreydrum/testing';
import { readGroups, type StoredGroup } from '../missing-member/storedGroups';
import { startSampling } from '../support/startSampling';

/** Samples how many groups are loading at the same time. */
export interface LoadingSampler {
  readonly latest: () => readonly StoredGroup[];
  readonly mostLoading: () => number;
  /** Returns the number of sampled versions of the weight store object. */
  readonly slotWriteCount: () => number;
  readonly stop: () => Promise<void>;
}

const intervalMs = 30;

/** Samples the state stored on the platform until stopped. */
export const createLoadingSampler = (fleet: testing.Fleet): LoadingSampler => {
  const versions = new Set<number>();
  let latest: readonly StoredGroup[] = [];
  let mostLoading = 0;

  const sample = async () => {
    latest = await readGroups(fleet);
    const loadingCount = latest.filter(({ phase }) => phase === 'loading').length;
    mostLoading = Math.max(mostLoading, loadingCount);
    const stores = await fleet.platform.list('weight-store');
    stores.forEach(({ version }) => versions.add(version));
  };

  const sampling = startSampling(sample, intervalMs);
  return {
    latest: () => latest,
    mostLoading: () => mostLoading,
    slotWriteCount: () => versions.size,
    stop: sampling.stop,
  };
};
