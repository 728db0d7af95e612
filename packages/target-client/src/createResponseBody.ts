import process from 'node:process';
import type * as undici from 'undici';

/** Receives the body of a response as it arrives. */
export interface BodyReader {
  /** Receives the chunks that arrived in one tick. */
  readonly onChunks: (chunks: readonly Buffer[]) => void;
  /** Called once, after the last chunk; `cause` is set when the body was interrupted. */
  readonly onEnd: (cause?: Error) => void;
}

/** The body of a target's response. */
export interface ResponseBody {
  /** Delivers the buffered chunks and those that arrive later to `reader`. Must be called at most once. */
  readonly read: (reader: BodyReader) => void;
  /** Applies backpressure to the target; chunks that have already arrived are still delivered. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Discards the rest of the body and closes the connection. */
  readonly discard: () => void;
}

/** A body together with its producer side. */
export interface WritableResponseBody extends ResponseBody {
  readonly push: (chunk: Buffer) => void;
  readonly end: (cause?: Error) => void;
}

/** Creates the body of a response controlled by undici. Chunks that arrive in one tick are delivered together. */
export const createResponseBody = (
  controller: undici.Dispatcher.DispatchController,
): WritableResponseBody => {
  let buffered: Buffer[] = [];
  let reader: BodyReader | undefined;
  let notifyEnd: ((to: BodyReader) => void) | undefined;

  const flush = () => {
    if (reader === undefined || buffered.length === 0) return;
    const chunks = buffered;
    buffered = [];
    reader.onChunks(chunks);
  };

  return {
    read: (nextReader) => {
      reader = nextReader;
      flush();
      notifyEnd?.(nextReader);
    },
    pause: () => controller.pause(),
    resume: () => controller.resume(),
    discard: () => controller.abort(new Error('the rest of the answer was given up')),
    push: (chunk) => {
      buffered.push(chunk);
      if (buffered.length === 1) process.nextTick(flush);
    },
    end: (cause) => {
      if (notifyEnd !== undefined) return;
      flush();
      notifyEnd = (to) => to.onEnd(cause);
      if (reader !== undefined) notifyEnd(reader);
    },
  };
};
