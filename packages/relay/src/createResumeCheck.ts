import type * as targetClient from '@comfreydrum/target-client';
import type { StreamEvent } from './createEventSplitter';
import type { StreamProgress } from './createStreamProgress';

/** A field of an event, or a comment; fields have lower-case names and may lack a value. */
const eventStreamLine = /^(?::|[a-z][a-z0-9-]*(?::|$))/;

/** Reports whether bytes consist of fields and comments of an event stream. */
const isEventStream = (bytes: Buffer): boolean =>
  bytes
    .toString('latin1')
    .split(/\r?\n/)
    .every((line) => line === '' || eventStreamLine.test(line));

const mediaTypeOf = (contentType: string): string =>
  contentType.split(';', 1)[0]!.trim().toLowerCase();

/** Checks the run that continues a stream of another one; each check returns a description of the fault, if any. */
export interface ResumeCheck {
  readonly checkHead: (answer: Pick<targetClient.TargetResponse, 'headers'>) => string | undefined;
  /** Checks the next event of the run, with the comments before it. */
  readonly checkEvent: (event: StreamEvent) => string | undefined;
  /** Checks what comes after the last event. */
  readonly checkComments: (bytes: Buffer) => string | undefined;
}

/**
 * Creates the check of a run that continues a response whose head has been sent. An error that a target answers with
 * the status of a success is not joined to the events of the earlier run.
 */
export const createResumeCheck = (progress: StreamProgress): ResumeCheck => {
  const { lastEventId } = progress.read();
  let isFirst = true;
  const findTextFault = (bytes: Buffer) =>
    isEventStream(bytes) ? undefined : 'the answer holds text that is no event';
  return {
    checkHead: ({ headers }) => {
      const expected = mediaTypeOf(progress.contentType() ?? '');
      const received = mediaTypeOf(String(headers['content-type'] ?? ''));
      if (expected === '' || received === expected) return undefined;
      return `the answer has the type ${received || 'none'} in place of ${expected}`;
    },
    checkEvent: ({ id, bytes }) => {
      const needsId = isFirst && lastEventId !== undefined;
      isFirst = false;
      if (needsId && id === undefined) return `an event without id came after event ${lastEventId}`;
      return findTextFault(bytes);
    },
    checkComments: findTextFault,
  };
};
