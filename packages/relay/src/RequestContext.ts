import type * as http from 'node:http';
import type * as fleet from '@comfreydrum/fleet';
import type { CallerRequest } from './CallerRequest';

/** A request whose route is resolved and whose body has been read. */
export interface RequestContext {
  readonly request: CallerRequest;
  /** Revision of the plan that admitted the request. */
  readonly planRevision: number;
  readonly route: fleet.Route;
  readonly service: fleet.Service;
  readonly customerName: string | undefined;
  /** 0 is the highest priority; undefined if the configuration names none. */
  readonly customerPriority?: number | undefined;
  /** What targets are told; undefined where the configuration doesn't tell requests apart. */
  readonly targetPriority?: number | undefined;
  readonly body: Buffer | null;
  /** Hash of the customer, method, URL and body; equal for every attempt to send the same request. */
  readonly fingerprint: string;
  /** Ids of the parts of the prompt that other requests may share. */
  readonly sharedPartIds: readonly string[];
  readonly response: http.ServerResponse;
  readonly arrivedAtMs: number;
  /** When the request had arrived with its whole body. */
  readonly receivedAtMs: number;
  /** Deadline on the monotonic clock. */
  readonly deadlineAtMs: number;
  readonly callerDisconnected: AbortSignal;
  /** Aborts when the daemon has to stop and the request must end. */
  readonly mustEnd: AbortSignal;
  /**
   * Reports whether the caller's key is still valid. Called in the same event loop tick in which the request is
   * written to a target.
   */
  readonly isStillAuthorized: () => boolean;
}
