import type { CallerRequest } from './CallerRequest';

/** One sending of a request to one target. */
export interface Dispatch {
  readonly targetId: string;
  readonly customerName: string | undefined;
  /** How much of the caller's time is left. */
  readonly remainingMs: number;
  /** The event after which a stream goes on; undefined for its start. */
  readonly resumeAfterEventId: number | undefined;
}

/** What the head of a target's answer tells beside its status. */
export interface AnswerFacts {
  /** The request that the target says it answers. */
  readonly requestId: string | undefined;
  /** Whether the target says that it has not run the request and never will. */
  readonly provesNotRun: boolean;
  /** The target that the answer names as the cause of a failure. */
  readonly faultyTargetId: string | undefined;
}

/** Writes what targets are sent, and reads what their answers tell. */
export interface TargetWire {
  readonly requestHeaders: (request: CallerRequest, dispatch: Dispatch) => readonly string[];
  readonly readAnswer: (
    statusCode: number,
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  ) => AnswerFacts;
}
