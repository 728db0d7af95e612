import type * as fleet from '@comfreydrum/fleet';
import type * as targetClient from '@comfreydrum/target-client';
import type { QuarantineSubject } from './crashes/createCrashMonitor';

/** The reason why the relay ends a request with an error response of its own. */
export type RefusalCause =
  | 'no-plan'
  | 'plan-out-of-date'
  | 'no-route'
  | 'unknown-key'
  | 'body-too-large'
  | 'body-too-slow'
  | 'memory-full'
  | 'too-many-requests'
  | 'no-host'
  | 'unmet-expectation'
  | 'no-group'
  | 'no-target'
  | 'overload'
  | 'target-limits'
  | 'targets-paused'
  | 'evacuated'
  | 'evacuations-unknown'
  | 'quarantined'
  | 'shutting-down'
  | 'targets-refused'
  | 'target-failed'
  | 'timeout'
  | 'internal';

/** A final error response that the relay generates itself. */
export interface Refusal {
  readonly cause: RefusalCause;
  readonly statusCode: number;
  readonly ran: targetClient.ExecutionStatus;
  readonly message: string;
  /** How long the caller should wait before it retries. */
  readonly retryAfterMs?: number;
  /** The plan that decided, as it was at that moment. */
  readonly decidedBy?: PlanState;
}

/** Revision and age of a traffic plan, and how the age is known. */
export interface PlanState {
  readonly revision: number;
  readonly ageMs: number;
  readonly confirmedBy: fleet.PlanConfirmation | undefined;
}

const unavailableStatus = 503;
const failedStatus = 502;
const timeoutStatus = 504;

/** Creates the refusal, with status 503, of a request that no target has run or will run. */
export const createNotRunRefusal = (
  cause: RefusalCause,
  message: string,
  retryAfterMs: number,
): Refusal => ({ cause, statusCode: unavailableStatus, ran: 'not-run', message, retryAfterMs });

/** Creates the refusal of a request that a target may have run. */
export const createFailureRefusal = (cause: RefusalCause, message: string): Refusal => ({
  cause,
  statusCode: cause === 'timeout' ? timeoutStatus : failedStatus,
  ran: 'unknown',
  message,
});

const busyRetryAfterMs = 1_000;

/** Creates the refusal of a request that comes when as many as the daemon may have are in progress. */
export const createBusyRefusal = (openCount: number): Refusal =>
  createNotRunRefusal(
    'too-many-requests',
    `the daemon has ${openCount} requests in progress, or too many fields in their heads`,
    busyRetryAfterMs,
  );

export const noHostRefusal: Refusal = {
  cause: 'no-host',
  statusCode: 400,
  ran: 'not-run',
  message: 'a request in HTTP/1.1 names its host',
};

export const unmetExpectationRefusal: Refusal = {
  cause: 'unmet-expectation',
  statusCode: 417,
  ran: 'not-run',
  message: 'the only expectation that is met is 100-continue',
};

const stalePlanRetryAfterMs = 700;

/** Creates the refusal of a request that needs a plan which was lately proved to be in force. */
export const createStalePlanRefusal = (planAgeMs: number): Refusal => {
  const message = `the traffic plan was last proved in force ${Math.round(planAgeMs)} ms ago`;
  return createNotRunRefusal('plan-out-of-date', message, stalePlanRetryAfterMs);
};

/** The other daemons take callers of one that is shutting down at once. */
const shutdownRetryAfterMs = 50;

/** Creates the refusal of a request that came too late to be served before the daemon stops. */
export const createShutdownRefusal = (): Refusal =>
  createNotRunRefusal('shutting-down', 'the daemon is shutting down', shutdownRetryAfterMs);

/** Creates the refusal of a request that had not ended when the daemon had to stop. */
export const createStopRefusal = (runCount: number): Refusal =>
  runCount === 0
    ? createShutdownRefusal()
    : createFailureRefusal('shutting-down', 'the daemon stops while the request is still running');

const minLimitRetryAfterMs = 50;

/** Creates the refusal of a request whose possible targets have all reached the limits that they name. */
export const createLimitRefusal = (serviceName: string, retryAfterMs: number): Refusal =>
  createNotRunRefusal(
    'target-limits',
    `the targets of service ${serviceName} that may take the request have reached their limits`,
    Math.max(minLimitRetryAfterMs, retryAfterMs),
  );

/** Creates the refusal of a request whose possible targets all want no requests from this daemon for a while. */
export const createPauseRefusal = (serviceName: string, retryAfterMs: number): Refusal =>
  createNotRunRefusal(
    'targets-paused',
    `all targets of service ${serviceName} that may take the request have asked for no requests`,
    Math.max(minLimitRetryAfterMs, retryAfterMs),
  );
/** Groups elsewhere form within this time where weights are staged. */
const evacuatedRetryAfterMs = 1_200;
const unknownRetryAfterMs = 500;

/** Creates the refusal of a request whose possible targets are all in failure domains that are emptied. */
export const createEvacuationRefusal = (
  serviceName: string,
  { isKnown }: fleet.Evacuations,
): Refusal =>
  isKnown()
    ? createNotRunRefusal(
        'evacuated',
        `all targets of service ${serviceName} that may take the request are in failure domains that are emptied`,
        evacuatedRetryAfterMs,
      )
    : createNotRunRefusal(
        'evacuations-unknown',
        'it is not known yet which failure domains are emptied',
        unknownRetryAfterMs,
      );

const quarantineMessages: Readonly<Record<QuarantineSubject, string>> = {
  request: 'the request is quarantined: targets ended while they ran it',
  'prompt-part':
    'a part of the prompt is quarantined: targets ended while they ran requests that share it',
};

/** Creates the refusal of a request that is quarantined because it, or a part of its prompt, crashes targets. */
export const createQuarantineRefusal = (
  runCount: number,
  { subject, retryAfterMs }: { readonly subject: QuarantineSubject; readonly retryAfterMs: number },
): Refusal => {
  const message = quarantineMessages[subject];
  return runCount === 0
    ? createNotRunRefusal('quarantined', message, retryAfterMs)
    : createFailureRefusal('quarantined', message);
};
