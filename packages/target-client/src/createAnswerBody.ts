import process from 'node:process';
import type * as undici from 'undici';

/** Takes the body of an answer as it arrives. */
export interface BodyReader {
  /** Takes the chunks of one tick. */
  readonly onChunks: (chunks: readonly Buffer[]) => void;
  /** Called once, after the last chunk; with the cause when the body broke off. */
  readonly onEnd: (cause?: Error) => void;
}

/** The body of a target's answer. */
export interface AnswerBody {
  /** Hands over what arrives, first what did already. Called at most once. */
  readonly read: (reader: BodyReader) => void;
  /** Holds the target back once what has arrived is handed over. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Gives up the rest, and with it the connection. */
  readonly discard: () => void;
}

/** A body with the side that fills it. */
export interface FilledBody extends AnswerBody {
  readonly push: (chunk: Buffer) => void;
  readonly end: (cause?: Error) => void;
}

/**
 * Creates the body of an answer that a controller of undici governs. Chunks that arrive in one tick are
 * handed over together.
 */
export const createAnswerBody = (controller: undici.Dispatcher.DispatchController): FilledBody => {
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
