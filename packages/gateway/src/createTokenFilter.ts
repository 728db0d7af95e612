import * as eventsource from 'eventsource-parser';

/** The state of a token filter. */
export interface TokenFilterState {
  /** Includes the tokens of earlier attempts. */
  readonly deliveredTokens: number;
  /** Whether the end-of-stream event was received. */
  readonly complete: boolean;
  /** Why the stream cannot be relayed further; undefined if it can. */
  readonly fault: string | undefined;
}

/** Converts the bytes of a target's stream into the events that the caller has not received yet. */
export interface TokenFilter {
  /** Parses the next bytes and returns the text to write, which may be empty. */
  readonly feed: (chunks: readonly Uint8Array[]) => string;
  readonly state: () => TokenFilterState;
}

/** Options of a token filter. */
export interface TokenFilterOptions {
  readonly requestId: string;
  /** The number of tokens that earlier attempts delivered to the caller. */
  readonly deliveredTokens: number;
  readonly onToken: () => void;
}

interface TokenEvent {
  readonly id?: unknown;
  readonly token_index?: unknown;
  readonly error?: unknown;
}

const endOfStream = '[DONE]';

const parseEvent = (data: string): TokenEvent | undefined => {
  try {
    const event: unknown = JSON.parse(data);
    return typeof event === 'object' && event !== null ? event : undefined;
  } catch {
    return undefined;
  }
};

const findFault = (
  event: TokenEvent | undefined,
  requestId: string,
  deliveredTokens: number,
): string | undefined => {
  if (event === undefined) return 'the target sent an event that is not JSON';
  if (event.error !== undefined) return `the target reported ${JSON.stringify(event.error)}`;
  if (typeof event.id === 'string' && !event.id.endsWith(requestId)) {
    return `the target sent an event of request ${event.id}`;
  }
  if (typeof event.token_index === 'number' && event.token_index > deliveredTokens) {
    return `the target skipped from token ${deliveredTokens} to ${event.token_index}`;
  }
  return undefined;
};

/**
 * Creates a filter that forwards complete events and skips those already delivered. A gap, an event of
 * another request, an event that is not JSON or an error event is a fault; nothing is forwarded after it.
 */
export const createTokenFilter = (options: TokenFilterOptions): TokenFilter => {
  const decoder = new TextDecoder();
  let { deliveredTokens } = options;
  let isComplete = false;
  let fault: string | undefined;
  let pending = '';

  const accept = (data: string) => {
    if (fault !== undefined || isComplete) return;
    isComplete = data === endOfStream;
    const event = isComplete ? {} : parseEvent(data);
    fault = findFault(event, options.requestId, deliveredTokens);
    if (fault !== undefined) return;
    if (typeof event?.token_index === 'number') {
      if (event.token_index < deliveredTokens) return;
      deliveredTokens += 1;
      options.onToken();
    }
    pending += `data: ${data}\n\n`;
  };

  const parser = eventsource.createParser({ onEvent: ({ data }) => accept(data) });

  return {
    feed: (chunks) => {
      const received = chunks.map((chunk) => decoder.decode(chunk, { stream: true }));
      parser.feed(received.join(''));
      const text = pending;
      pending = '';
      return text;
    },
    state: () => ({ deliveredTokens, complete: isComplete, fault }),
  };
};
