import type { CallerRequest } from './CallerRequest';
import type { NamedLimit } from './limits/NamedLimit';

/** One attempt to send a request to a target. */
export interface Dispatch {
  readonly targetId: string;
  readonly customerName: string | undefined;
  /** 0 is the highest priority; undefined where the configuration doesn't tell requests apart. */
  readonly priority?: number | undefined;
  /** Time left until the deadline of the request. */
  readonly remainingMs: number;
  /** Id of the event after which the stream resumes; undefined to start from the beginning. */
  readonly resumeAfterEventId: number | undefined;
}

/** Metadata in the head of a target's response, in addition to the status. */
export interface ResponseMetadata {
  /** The request id that the response carries. */
  readonly requestId: string | undefined;
  /** Whether the target confirms that it has not run the request and never will. */
  readonly confirmsNotRun: boolean;
  /** The target that the response reports as the cause of a failure. */
  readonly faultyTargetId: string | undefined;
  readonly namedLimit: NamedLimit;
  /** Whether the target says that it is leaving. */
  readonly isLeaving?: boolean;
  /** For how long the target wants nothing from this daemon. */
  readonly retryAfterMs?: number | undefined;
  /** How long the target stays cold. */
  readonly coldRemainingMs?: number | undefined;
}

/** A request that shows whether a target can be reached. */
export interface TargetProbe {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** Encodes request headers and decodes response metadata in the targets' wire format. */
export interface TargetWire {
  readonly requestHeaders: (request: CallerRequest, dispatch: Dispatch) => readonly string[];
  /** Returns a request that any target answers, if only with an error. */
  readonly probeRequest: (targetId: string) => TargetProbe;
  readonly decodeResponse: (
    statusCode: number,
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  ) => ResponseMetadata;
}
