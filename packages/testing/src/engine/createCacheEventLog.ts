import type { Random } from '../createRandom';
import type { CacheChange } from './createPrefixCache';

interface CacheEvent extends CacheChange {
  readonly sequence: number;
  readonly visibleAtMs: number;
}

/** The published changes of a cache, delayed and with gaps in their sequence. */
export interface CacheEventLog {
  readonly add: (change: CacheChange) => void;
  /** Returns the newest `limit` events whose sequence number is at least `since`. */
  readonly read: (
    since: number,
    limit?: number,
  ) => {
    readonly next: number;
    readonly events: readonly (CacheChange & { readonly sequence: number })[];
  };
}

/** Delay and loss of the events. */
export interface CacheEventLogOptions {
  readonly delayMs: number;
  readonly lossFraction: number;
  readonly random: Random;
}

const maxRetainedEvents = 20_000;

/** Creates an empty log of cache events. */
export const createCacheEventLog = (options: CacheEventLogOptions): CacheEventLog => {
  let events: CacheEvent[] = [];
  let nextSequence = 1;

  return {
    add: (change) => {
      const sequence = nextSequence;
      nextSequence += 1;
      if (options.random.fraction() < options.lossFraction) return;
      events.push({ ...change, sequence, visibleAtMs: performance.now() + options.delayMs });
      if (events.length > 2 * maxRetainedEvents) events = events.slice(maxRetainedEvents);
    },
    read: (since, limit = maxRetainedEvents) => {
      const visible = events
        .filter(
          ({ sequence, visibleAtMs }) => sequence >= since && visibleAtMs <= performance.now(),
        )
        .slice(-limit);
      return {
        next: Math.max(since, (visible.at(-1)?.sequence ?? 0) + 1),
        events: visible.map(({ sequence, kind, prefixHash, tokenCount }) => ({
          sequence,
          kind,
          prefixHash,
          tokenCount,
        })),
      };
    },
  };
};
