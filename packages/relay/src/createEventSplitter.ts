/** A whole event of a stream, in the bytes in which it came. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

/** Cuts the bytes of an event stream into whole events. */
export interface EventSplitter {
  /** Takes bytes and gives the events that they complete. */
  readonly feed: (bytes: Buffer) => readonly StreamEvent[];
  /** Gives how many bytes of an event that is not whole are held back. */
  readonly heldBytes: () => number;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = /^id:[ ]?(\d+)[ ]*\r?$/m;

/** Finds the end of the first event: just after an empty line. */
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

/** Creates a splitter that holds nothing. */
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
    heldBytes: () => buffered.length,
  };
};
