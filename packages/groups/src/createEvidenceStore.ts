/** Identifies a group at one generation. */
export interface GroupGeneration {
  readonly groupId: string;
  readonly generation: number;
}

/** Stores when each group was last known complete and when a loss was last detected. */
export interface EvidenceStore {
  /** Records that every member was present at `presentAtMs` on the local monotonic clock. */
  readonly addPresent: (group: GroupGeneration, presentAtMs: number) => void;
  /** Records that a member was missing or leaving at `lostAtMs`. */
  readonly addLoss: (group: GroupGeneration, lostAtMs: number) => void;
  /** Reports whether the group was complete within the window and no loss was detected since. */
  readonly isFresh: (group: GroupGeneration, nowMs: number) => boolean;
  /** Returns the time since the group was last known complete, or Infinity if it never was. */
  readonly ageMs: (group: GroupGeneration, nowMs: number) => number;
  /** Discards the evidence of groups that are not in `groups`. */
  readonly retain: (groups: readonly GroupGeneration[]) => void;
}

const keyOf = ({ groupId, generation }: GroupGeneration): string => `${groupId}@${generation}`;

/** Creates a store whose evidence is fresh for `windowMs` after the underlying probes were sent. */
export const createEvidenceStore = (windowMs: number): EvidenceStore => {
  const presentAtMs = new Map<string, number>();
  const lostAtMs = new Map<string, number>();

  const setLatest = (times: Map<string, number>, group: GroupGeneration, atMs: number) => {
    const key = keyOf(group);
    times.set(key, Math.max(atMs, times.get(key) ?? -Infinity));
  };

  const lastPresent = (group: GroupGeneration) => presentAtMs.get(keyOf(group)) ?? -Infinity;

  return {
    addPresent: (group, atMs) => setLatest(presentAtMs, group, atMs),
    addLoss: (group, atMs) => setLatest(lostAtMs, group, atMs),
    isFresh: (group, nowMs) => {
      const atMs = lastPresent(group);
      const isWithinWindow = nowMs - atMs < windowMs;
      return isWithinWindow && atMs > (lostAtMs.get(keyOf(group)) ?? -Infinity);
    },
    ageMs: (group, nowMs) => nowMs - lastPresent(group),
    retain: (groups) => {
      const kept = new Set(groups.map(keyOf));
      [presentAtMs, lostAtMs].forEach((times) =>
        [...times.keys()].filter((key) => !kept.has(key)).forEach((key) => times.delete(key)),
      );
    },
  };
};
