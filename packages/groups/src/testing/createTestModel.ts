import type { PlacementModel } from '../placement/PlacementPolicy';

/** Creates a placement model with one group of two instances, overridden by `changes`. */
export const createTestModel = (changes: Partial<PlacementModel> = {}): PlacementModel => ({
  modelKey: 'team/main',
  version: '1',
  targetKind: 'engine',
  groupCount: 1,
  instancesPerGroup: 2,
  failureDomains: [],
  value: 10,
  loadTimeMs: 60_000,
  downtimeWeight: 0,
  strandedWeight: 1,
  ...changes,
});
