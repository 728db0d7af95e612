/** Tracks which prompt prefixes each target is believed to have cached. */
export interface PrefixIndex {
  readonly add: (targetId: string, prefixHashes: readonly string[], nowMs: number) => void;
  readonly remove: (targetId: string, prefixHash: string) => void;
  /**
   * Returns how many leading blocks of the prompt a target is believed to have cached. A target
   * that has a block also has those before it, even if it isn't recorded for them because
   * `maxHolders` was exceeded.
   */
  readonly heldBlocks: (targetId: string, prefixHashes: readonly string[], nowMs: number) => number;
  /** Returns the targets believed to have the longest known prefix of the prompt cached. */
  readonly holders: (prefixHashes: readonly string[], nowMs: number) => readonly string[];
}

interface Holder {
  readonly targetId: string;
  readonly seenAtMs: number;
}

/** Bounds of a prefix index. */
export interface PrefixIndexOptions {
  readonly maxPrefixes?: number;
  readonly maxHolders?: number;
  /** Time after which an entry expires unless it is renewed. */
  readonly maxAgeMs?: number;
}

const defaultMaxPrefixes = 65_536;
const defaultMaxHolders = 4;
const defaultMaxAgeMs = 600_000;

/** Creates an empty index, which evicts the least recently added prefixes first. */
export const createPrefixIndex = (options: PrefixIndexOptions = {}): PrefixIndex => {
  const {
    maxPrefixes = defaultMaxPrefixes,
    maxHolders = defaultMaxHolders,
    maxAgeMs = defaultMaxAgeMs,
  } = options;
  const holdersOf = new Map<string, readonly Holder[]>();

  const freshHolders = (prefixHash: string, nowMs: number): readonly string[] =>
    (holdersOf.get(prefixHash) ?? [])
      .filter(({ seenAtMs }) => nowMs - seenAtMs <= maxAgeMs)
      .map(({ targetId }) => targetId);

  const holds = (targetId: string, prefixHash: string, nowMs: number) =>
    (holdersOf.get(prefixHash) ?? []).some(
      (holder) => holder.targetId === targetId && nowMs - holder.seenAtMs <= maxAgeMs,
    );

  const addOne = (targetId: string, prefixHash: string, nowMs: number) => {
    const others = (holdersOf.get(prefixHash) ?? []).filter(
      (holder) => holder.targetId !== targetId,
    );
    holdersOf.delete(prefixHash);
    holdersOf.set(prefixHash, [{ targetId, seenAtMs: nowMs }, ...others].slice(0, maxHolders));
  };

  const evict = () => {
    for (const oldest of holdersOf.keys()) {
      if (holdersOf.size <= maxPrefixes) return;
      holdersOf.delete(oldest);
    }
  };

  return {
    add: (targetId, prefixHashes, nowMs) => {
      prefixHashes.forEach((prefixHash) => addOne(targetId, prefixHash, nowMs));
      evict();
    },
    remove: (targetId, prefixHash) => {
      const others = (holdersOf.get(prefixHash) ?? []).filter(
        (holder) => holder.targetId !== targetId,
      );
      if (others.length > 0) holdersOf.set(prefixHash, others);
      else holdersOf.delete(prefixHash);
    },
    heldBlocks: (targetId, prefixHashes, nowMs) =>
      prefixHashes.findLastIndex((prefixHash) => holds(targetId, prefixHash, nowMs)) + 1,
    holders: (prefixHashes, nowMs) => {
      const deepest = prefixHashes.findLast((hash) => freshHolders(hash, nowMs).length > 0);
      return deepest === undefined ? [] : freshHolders(deepest, nowMs);
    },
  };
};
