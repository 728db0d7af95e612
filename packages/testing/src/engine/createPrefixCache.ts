import { createHash } from 'node:crypto';

/** One change of the cache, as published by the engine. */
export interface CacheChange {
  readonly kind: 'stored' | 'evicted';
  readonly prefixHash: string;
  readonly tokenCount: number;
}

/** Cache of prompt prefixes with a fixed capacity, which evicts the least recently used block. */
export interface PrefixCache {
  /** Returns the number of cached tokens of the prompt and stores all of its blocks. */
  readonly lookUpAndStore: (prompt: string) => number;
  readonly usedFraction: () => number;
  readonly clear: () => void;
}

const blockTokens = 64;
const blockCharacters = blockTokens * 4;

const hashPrefixes = (prompt: string): readonly string[] => {
  const hash = createHash('sha256');
  const blockCount = Math.floor(prompt.length / blockCharacters);
  return Array.from({ length: blockCount }, (_, index) => {
    hash.update(prompt.slice(index * blockCharacters, (index + 1) * blockCharacters));
    return hash.copy().digest('hex').slice(0, 16);
  });
};

/** Creates a cache of `capacityTokens` that calls `onChange` on each change. */
export const createPrefixCache = (
  capacityTokens: number,
  onChange: (change: CacheChange) => void,
): PrefixCache => {
  const capacityBlocks = Math.floor(capacityTokens / blockTokens);
  // The insertion order of the map is the order of last use, oldest first.
  const tokenCountByHash = new Map<string, number>();

  const evictOldest = () => {
    const [prefixHash, tokenCount] = tokenCountByHash.entries().next().value!;
    tokenCountByHash.delete(prefixHash);
    onChange({ kind: 'evicted', prefixHash, tokenCount });
  };

  const store = (prefixHash: string, tokenCount: number) => {
    const isNew = !tokenCountByHash.delete(prefixHash);
    tokenCountByHash.set(prefixHash, tokenCount);
    if (isNew) onChange({ kind: 'stored', prefixHash, tokenCount });
    if (tokenCountByHash.size > capacityBlocks) evictOldest();
  };

  return {
    lookUpAndStore: (prompt) => {
      const hashes = hashPrefixes(prompt);
      const firstMissing = hashes.findIndex((prefixHash) => !tokenCountByHash.has(prefixHash));
      const hitBlocks = firstMissing < 0 ? hashes.length : firstMissing;
      hashes.forEach((prefixHash, index) => store(prefixHash, (index + 1) * blockTokens));
      return hitBlocks * blockTokens;
    },
    usedFraction: () => (capacityBlocks === 0 ? 1 : tokenCountByHash.size / capacityBlocks),
    clear: () => {
      while (tokenCountByHash.size > 0) evictOldest();
    },
  };
};
