import type * as fleet from '@comfreydrum/fleet';

/** Where a target holds the weights of a model; the closer they are, the sooner it can join a group. */
export type Warmth = 'in-memory' | 'on-host' | 'cold';

const warmthRank: Readonly<Record<Warmth, number>> = { 'in-memory': 0, 'on-host': 1, cold: 2 };

/** Returns where a target holds the weights of a model. */
export const warmthFor = (target: fleet.Target, modelName: string): Warmth => {
  if (target.loadedModels.includes(modelName)) return 'in-memory';
  return target.stagedModels.includes(modelName) ? 'on-host' : 'cold';
};

/** Orders targets by how soon they can join a group of a model. */
export const compareByWarmth = (modelName: string) => (one: fleet.Target, other: fleet.Target) =>
  warmthRank[warmthFor(one, modelName)] - warmthRank[warmthFor(other, modelName)] ||
  one.id.localeCompare(other.id);
