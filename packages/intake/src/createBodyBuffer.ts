/** Gathers the pieces of a body; takes memory by their size, whatever their number. */
export interface BodyBuffer {
  readonly append: (piece: Buffer) => void;
  readonly sizeBytes: () => number;
  /** Returns the memory that the pieces take, which is more than their size while more may come. */
  readonly heldBytes: () => number;
  readonly bytes: () => Buffer;
  /** Drops all pieces. */
  readonly clear: () => void;
}

const minCapacityBytes = 1_024;
const empty = Buffer.alloc(0);

/** Creates an empty buffer for a body of `maxBytes` at most. */
export const createBodyBuffer = (maxBytes: number): BodyBuffer => {
  let buffer = empty;
  let sizeBytes = 0;

  return {
    append: (piece) => {
      const nextBytes = sizeBytes + piece.length;
      if (nextBytes > buffer.length) {
        const usualBytes = Math.max(minCapacityBytes, 2 * buffer.length);
        const next = Buffer.allocUnsafeSlow(Math.max(nextBytes, Math.min(maxBytes, usualBytes)));
        buffer.copy(next, 0, 0, sizeBytes);
        buffer = next;
      }
      piece.copy(buffer, sizeBytes);
      sizeBytes = nextBytes;
    },
    sizeBytes: () => sizeBytes,
    heldBytes: () => buffer.length,
    bytes: () => buffer.subarray(0, sizeBytes),
    clear: () => {
      buffer = empty;
      sizeBytes = 0;
    },
  };
};
