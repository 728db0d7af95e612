/** Returns whether at least half of the known members are live; a smaller partition is no quorum. */
export const isQuorum = (liveCount: number, knownCount: number): boolean =>
  liveCount * 2 >= knownCount;
