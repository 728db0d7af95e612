import * as routing from '@comfreydrum/routing';
import type * as clock from '@comfreydrum/clock';
import type { FleetLink } from './FleetLink';
import {
  readPermitResponse,
  readPermitRequest,
  readRequestId,
  type PermitResponse,
  type PermitRequest,
} from './quarantineMessages';

/**
 * Requests the permits that suspect requests need to run. The first live daemon is the coordinator, which
 * grants the permits of the whole fleet.
 */
export interface PermitCoordinator {
  /** Checks whether this daemon is the coordinator; call it about once a second. */
  readonly checkRole: () => void;
  readonly request: (request: PermitRequest) => Promise<PermitResponse>;
  readonly renew: (requestId: string) => void;
  readonly freeTarget: (requestId: string) => void;
  readonly release: (requestId: string) => void;
  /** Reports whether a run of this daemon holds a permit. */
  readonly hasPermit: (requestId: string) => boolean;
  /** Returns the suspects that this coordinator permitted on a lost target, and ends their permits. */
  readonly onTargetLost: (target: routing.CrashTarget) => readonly string[];
}

const callTimeoutMs = 500;
const retryAfterMs = 100;
const methods = {
  request: 'quarantine/permit',
  renew: 'quarantine/renew',
  freeTarget: 'quarantine/free-target',
  release: 'quarantine/release',
} as const;

/** Creates the permit coordinator of a daemon that starts. */
export const createPermitCoordinator = (
  link: FleetLink,
  daemonClock: clock.Clock,
  quarantine: routing.Quarantine,
): PermitCoordinator => {
  const nowMs = () => daemonClock.monotonicMs();
  const permits = routing.createSuspectPermits(nowMs());
  /** The runs of this daemon that hold a permit. */
  const permittedRunIds = new Set<string>();
  // A daemon may be the coordinator from its start. It grants nothing until the permits of an earlier
  // coordinator have expired, which createSuspectPermits ensures.
  let wasCoordinator = true;

  const coordinatorId = () => link.liveIds()[0] ?? link.selfId;

  const isCoordinator = () => {
    const isNow = coordinatorId() === link.selfId;
    if (isNow && !wasCoordinator) permits.reset(nowMs());
    wasCoordinator = isNow;
    return isNow;
  };

  const decide = (request: PermitRequest): PermitResponse => {
    request.losses.forEach((loss) => quarantine.onUpdate(loss, nowMs()));
    const { fingerprint } = request;
    if (quarantine.check(fingerprint, nowMs()).kind === 'quarantined') {
      return { kind: 'quarantined', losses: quarantine.lossesOf(fingerprint, nowMs()) };
    }
    if (!isCoordinator()) return { kind: 'wait', retryAfterMs, busy: 'handover' };
    return permits.acquire(request, nowMs());
  };

  const forward = (method: string, requestId: string, apply: (requestId: string) => void) => {
    if (!permittedRunIds.has(requestId)) return;
    if (isCoordinator()) apply(requestId);
    else void link.call(coordinatorId(), method, requestId, callTimeoutMs);
  };

  const requestFromCoordinator = async (request: PermitRequest): Promise<PermitResponse> => {
    if (isCoordinator()) return decide(request);
    const response = await link.call(coordinatorId(), methods.request, request, callTimeoutMs);
    return readPermitResponse(response) ?? { kind: 'wait', retryAfterMs, busy: 'handover' };
  };

  const renew = (requestId: string) => permits.renew(requestId, nowMs());
  link.handle(methods.request, (params) => decide(readPermitRequest(params)));
  link.handle(methods.renew, (params) => renew(readRequestId(params)));
  link.handle(methods.freeTarget, (params) => permits.freeTarget(readRequestId(params)));
  link.handle(methods.release, (params) => permits.release(readRequestId(params)));

  return {
    checkRole: () => {
      isCoordinator();
    },
    request: async (request) => {
      const response = await requestFromCoordinator(request);
      if (response.kind === 'granted') permittedRunIds.add(request.requestId);
      return response;
    },
    renew: (requestId) => forward(methods.renew, requestId, renew),
    freeTarget: (requestId) => forward(methods.freeTarget, requestId, permits.freeTarget),
    release: (requestId) => {
      forward(methods.release, requestId, permits.release);
      permittedRunIds.delete(requestId);
    },
    hasPermit: (requestId) => permittedRunIds.has(requestId),
    onTargetLost: permits.onTargetLost,
  };
};
