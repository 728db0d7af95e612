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
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = /^id:[ ]?(\d+)[ ]*\r?$/m;

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

const readId = (bytes: Buffer): number | undefined => {
  const match = idField.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : undefined;
};

export const createEventSplitter = (): EventSplitter => {
  let buffered: Buffer = Buffer.alloc(0);

  return {
    feed: (bytes) => {
      buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes]);
      const events: StreamEvent[] = [];
      let start = 0;
      let end = findEventEnd(buffered, start);
      while (end !== -1) {
        const event = buffered.subarray(start, end);
        events.push({ bytes: event, id: readId(event) });
        start = end;
        end = findEventEnd(buffered, start);
      }
      buffered = buffered.subarray(start);
      return events;
    },
    bufferedBytes: () => buffered.length,
  };
};
