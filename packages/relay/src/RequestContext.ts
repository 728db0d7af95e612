import type * as http from 'node:http';
import type * as fleet from '@comfreydrum/fleet';
import type { CallerRequest } from './CallerRequest';

/** A request whose route is known and whose body is read. */
export interface RequestContext {
  readonly request: CallerRequest;
  readonly route: fleet.Route;
  readonly service: fleet.Service;
  readonly customerName: string | undefined;
  readonly body: Buffer | null;
  readonly response: http.ServerResponse;
  readonly arrivedAtMs: number;
  /** On the monotonic clock. */
  readonly deadlineAtMs: number;
  readonly callerGone: AbortSignal;
  /** Asked in the tick in which a target is sent the request. */
  readonly mayStillRun: () => boolean;
}
