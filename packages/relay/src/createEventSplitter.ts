/** A complete event of a stream, as the bytes received, with the comments before it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

/** Splits the bytes of an event stream into complete events. */
export interface EventSplitter {
  /** Appends bytes and returns the events that they complete. */
  readonly feed: (bytes: Buffer) => readonly StreamEvent[];
  /** Returns the number of bytes since the last event. */
  readonly bufferedBytes: () => number;
  /** Returns the comments since the last event; undefined in the middle of an event or comment. */
  readonly trailingComments: () => Buffer | undefined;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** Length of the longest end of an event, `\n\r\n`. */
const maxEndBytes = 3;
const idField = /^id:[ ]?(\d+)[ ]*\r?$/m;
/** Blocks without such a field, such as comments, are no events. */
const contentField = /^(?:id|data)\b/m;

/** Returns the index after the empty line that ends the first event, or -1. */
const findEventEnd = (bytes: Buffer, from: number): number => {
  let index = bytes.indexOf(lineFeed, from);
  while (index !== -1) {
    const next = bytes[index + 1] === carriageReturn ? index + 2 : index + 1;
    if (bytes[next] === lineFeed) return next + 1;
    index = bytes.indexOf(lineFeed, index + 1);
  }
  return -1;
};

const readId = (text: string): number | undefined => {
  const match = idField.exec(text);
  return match ? Number(match[1]) : undefined;
};

export const createEventSplitter = (): EventSplitter => {
  /** Begins with the bytes since the last event; its capacity grows by doubling. */
  let storage: Buffer = Buffer.alloc(0);
  let storedBytes = 0;
  /** Length of the complete comments at the start of the storage. */
  let commentBytes = 0;

  const append = (bytes: Buffer): Buffer => {
    if (storedBytes === 0) {
      storage = bytes;
      return bytes;
    }
    const totalBytes = storedBytes + bytes.length;
    if (totalBytes > storage.length) {
      const larger = Buffer.allocUnsafe(2 * totalBytes);
      storage.copy(larger, 0, 0, storedBytes);
      storage = larger;
    }
    bytes.copy(storage, storedBytes);
    return storage.subarray(0, totalBytes);
  };

  return {
    feed: (bytes) => {
      const searchFrom = Math.max(commentBytes, storedBytes - maxEndBytes + 1);
      const available = append(bytes);
      const events: StreamEvent[] = [];
      let eventStart = 0;
      let blockStart = commentBytes;
      let end = findEventEnd(available, searchFrom);
      while (end !== -1) {
        const text = available.toString('latin1', blockStart, end);
        if (contentField.test(text)) {
          events.push({ bytes: available.subarray(eventStart, end), id: readId(text) });
          eventStart = end;
        }
        blockStart = end;
        end = findEventEnd(available, blockStart);
      }
      storedBytes = available.length - eventStart;
      commentBytes = blockStart - eventStart;
      // The events refer to the old storage; without spare capacity it is not written to again.
      if (eventStart > 0) storage = available.subarray(eventStart);
      return events;
    },
    bufferedBytes: () => storedBytes,
    trailingComments: () =>
      storedBytes > commentBytes ? undefined : storage.subarray(0, commentBytes),
  };
};
