import type { EvacuationTracker } from './createEvacuationTracker';

/** The orders of a deployment in which failure domains are never emptied. */
export const noEvacuations: EvacuationTracker = {
  isKnown: () => true,
  isEvacuated: () => false,
  mayReceive: () => true,
  endedAtMs: () => undefined,
  ageMs: () => 0,
  share: () => undefined,
  applyShared: () => {},
  component: { name: 'evacuations' },
};
