import type * as http from 'node:http';
import type { Caller } from './createCallerDirectory';

/** The state of one caller's request in the gateway. */
export interface RequestContext {
  readonly requestId: string;
  readonly caller: Caller;
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly path: string;
  readonly body: Buffer;
  /** On the monotonic clock. */
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  /** Aborts when the caller closes the connection. */
  readonly callerDisconnected: AbortSignal;
}
