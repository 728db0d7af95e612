import type * as http from 'node:http';
import { generateToken } from './generateText';
import type { EventFaults } from './EventFaults';

/** Writes server-sent events and injects the requested faults. */
export interface EventWriter {
  /** Writes the event of a token; `foreignEvent` is inserted before it for that fault. */
  readonly writeToken: (event: object, foreignEvent: object) => void;
  readonly write: (event: object) => void;
  readonly end: () => void;
}

const formatEvent = (event: object): string => `data: ${JSON.stringify(event)}\n\n`;

const foreignDigest = 'f0'.repeat(32);

/** Returns the text of a token that belongs to no request. */
export const foreignToken = (index: number): string => generateToken(foreignDigest, index);

/** Creates a writer over a response whose header has been sent. */
export const createEventWriter = (
  response: http.ServerResponse,
  faults: EventFaults,
): EventWriter => {
  let deferredText = '';

  const send = (text: string) => {
    response.write(text + deferredText);
    deferredText = '';
  };

  return {
    writeToken: (event, foreignEvent) => {
      if (response.writableEnded) return;
      const text = formatEvent(event);
      if (faults.consume('silentEnds')) response.end();
      else if (faults.consume('tornEvents')) response.end(text.slice(0, text.length / 2));
      else if (faults.consume('duplicatedEvents')) send(text + text);
      else if (faults.consume('foreignEvents')) send(formatEvent(foreignEvent) + text);
      else if (deferredText === '' && faults.consume('swappedEvents')) deferredText = text;
      else send(text);
    },
    write: (event) => {
      if (!response.writableEnded) send(formatEvent(event));
    },
    end: () => {
      if (!response.writableEnded) response.end('data: [DONE]\n\n');
    },
  };
};
