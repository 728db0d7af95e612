/** Bytes that one holder keeps in memory, as part of a budget. */
export interface Holding {
  /** Sets the number of bytes; may evict the largest holding, perhaps this one. */
  readonly resize: (bytes: number) => void;
  /** Makes the bytes count until they are released, as giving them up would help nobody. */
  readonly pin: () => void;
  readonly release: () => void;
}

/** Bounds the bytes that all holders together keep in memory. */
export interface ByteBudget {
  /** Opens an empty holding. `onEvicted` is called at most once; the holder must then drop its bytes. */
  readonly hold: (onEvicted: () => void) => Holding;
  readonly heldBytes: () => number;
  readonly evictedCount: () => number;
  readonly limitBytes: number;
}

interface State {
  bytes: number;
  isPinned: boolean;
  readonly onEvicted: () => void;
}

/** A holding up to this size is never evicted, so that usual requests don't pay for those that fill the budget. */
const alwaysKeptBytes = 16_384;

/** Creates an empty budget. Beyond its limit the largest holding is evicted, until the rest fits or nothing is left to evict. */
export const createByteBudget = (limitBytes: number): ByteBudget => {
  const holdings = new Set<State>();
  let heldBytes = 0;
  let evictedCount = 0;

  const release = (state: State) => {
    if (holdings.delete(state)) heldBytes -= state.bytes;
  };

  const findLargest = (): State | undefined => {
    let largest: State | undefined;
    holdings.forEach((state) => {
      if (state.isPinned || state.bytes <= alwaysKeptBytes) return;
      // Of equal ones the latest, on which the least has been spent.
      if (largest === undefined || state.bytes >= largest.bytes) largest = state;
    });
    return largest;
  };

  const enforceLimit = () => {
    while (heldBytes > limitBytes) {
      const largest = findLargest();
      if (largest === undefined) return;
      release(largest);
      evictedCount += 1;
      largest.onEvicted();
    }
  };

  return {
    hold: (onEvicted) => {
      const state: State = { bytes: 0, isPinned: false, onEvicted };
      holdings.add(state);
      return {
        resize: (bytes) => {
          if (!holdings.has(state)) return;
          heldBytes += bytes - state.bytes;
          state.bytes = bytes;
          enforceLimit();
        },
        pin: () => {
          state.isPinned = true;
        },
        release: () => release(state),
      };
    },
    heldBytes: () => heldBytes,
    evictedCount: () => evictedCount,
    limitBytes,
  };
};
