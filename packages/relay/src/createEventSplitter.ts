/** A complete event of a stream, as the bytes received. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

/** Splits the bytes of an event stream into complete events. */
export interface EventSplitter {
  /** Appends bytes and returns the events that they complete. */
  readonly feed: (bytes: Buffer) => readonly StreamEvent[];
  /** Returns the number of buffered bytes of an incomplete event. */
  readonly bufferedBytes: () => number;
  /** Returns the number of bytes since the last event that had an id or data; comments have neither. */
  readonly bytesWithoutEvent: () => number;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** Length of the longest end of an event, `\n\r\n`. */
const maxEndBytes = 3;
const idField = /^id:[ ]?(\d+)[ ]*\r?$/m;
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
  /** Begins with the bytes of the incomplete event; its capacity grows by doubling. */
  let storage: Buffer = Buffer.alloc(0);
  let storedBytes = 0;
  let bytesWithoutEvent = 0;

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
      const searchFrom = Math.max(0, storedBytes - maxEndBytes + 1);
      const available = append(bytes);
      const events: StreamEvent[] = [];
      let start = 0;
      let end = findEventEnd(available, searchFrom);
      while (end !== -1) {
        const event = available.subarray(start, end);
        const text = event.toString('latin1');
        events.push({ bytes: event, id: readId(text) });
        bytesWithoutEvent = contentField.test(text) ? 0 : bytesWithoutEvent + event.length;
        start = end;
        end = findEventEnd(available, start);
      }
      storedBytes = available.length - start;
      // The events refer to the old storage; without spare capacity it is not written to again.
      if (start > 0) storage = available.subarray(start);
      return events;
    },
    bufferedBytes: () => storedBytes,
    bytesWithoutEvent: () => bytesWithoutEvent + storedBytes,
  };
};
