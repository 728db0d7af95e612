/** Returns whether at least half of the known members are live; both halves of an even split qualify. */
export const isAtLeastHalf = (liveCount: number, knownCount: number): boolean =>
  liveCount * 2 >= knownCount;
