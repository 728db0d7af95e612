import { targetKeyOf, type CrashTarget } from './Quarantine';

/** A request for permission to run a suspect on a target. */
export interface PermitRequest {
  readonly fingerprint: string;
  readonly requestId: string;
  readonly target: CrashTarget;
  /** The daemon that runs the request if the permit is granted. */
  readonly holderId: string;
}

/** Whether a suspect may run now, or when to retry. */
export type PermitDecision =
  | { readonly kind: 'granted'; readonly leaseMs: number }
  | {
      readonly kind: 'wait';
      readonly retryAfterMs: number;
      /** What blocks the permit. With `target`, another target may be available immediately. */
      readonly busy: 'fingerprint' | 'target' | 'handover';
    };

/**
 * Grants permits to run suspects: one run per fingerprint and one suspect per target at a time, so
 * that a crash can be attributed to one suspect.
 *
 * One daemon at a time manages the permits of the whole fleet.
 */
export interface SuspectPermits {
  readonly acquire: (request: PermitRequest, nowMs: number) => PermitDecision;
  /** Extends a permit; returns false if it is no longer held. */
  readonly renew: (requestId: string, nowMs: number) => boolean;
  /**
   * Frees the target for other suspects once the run has passed the point at which the previous one
   * failed.
   */
  readonly freeTarget: (requestId: string) => void;
  readonly release: (requestId: string) => void;
  /** Ends the permits for a lost target and returns their fingerprints. */
  readonly onTargetLost: (target: CrashTarget) => readonly string[];
  /**
   * Drops all permits when this daemon begins to manage them, and grants none until those of the
   * previous manager have expired.
   */
  readonly reset: (nowMs: number) => void;
}

interface Permit {
  readonly request: PermitRequest;
  readonly targetKey: string;
  holdsTarget: boolean;
  expiresAtMs: number;
}

/** Time after which a permit expires unless it is renewed. */
export const permitLeaseMs = 5_000;
const retryAfterMs = 100;

/** Creates the permits of a daemon that begins to manage them at `startMs`. */
export const createSuspectPermits = (startMs: number): SuspectPermits => {
  const permits = new Map<string, Permit>();
  const requestOfFingerprint = new Map<string, string>();
  const requestOfTarget = new Map<string, string>();
  let grantsFromMs = startMs + permitLeaseMs;

  const remove = (requestId: string) => {
    const permit = permits.get(requestId);
    if (!permit) return;
    permits.delete(requestId);
    requestOfFingerprint.delete(permit.request.fingerprint);
    if (permit.holdsTarget) requestOfTarget.delete(permit.targetKey);
  };

  const isTaken = (requestId: string | undefined, nowMs: number) => {
    const permit = requestId === undefined ? undefined : permits.get(requestId);
    if (!permit) return false;
    if (permit.expiresAtMs > nowMs) return true;
    remove(permit.request.requestId);
    return false;
  };

  const wait = (busy: 'fingerprint' | 'target' | 'handover', waitMs = retryAfterMs) =>
    ({ kind: 'wait', retryAfterMs: waitMs, busy }) as const;

  return {
    acquire: (request, nowMs) => {
      if (nowMs < grantsFromMs) return wait('handover', grantsFromMs - nowMs);
      if (isTaken(requestOfFingerprint.get(request.fingerprint), nowMs)) return wait('fingerprint');
      const targetKey = targetKeyOf(request.target);
      if (isTaken(requestOfTarget.get(targetKey), nowMs)) return wait('target');
      permits.set(request.requestId, {
        request,
        targetKey,
        holdsTarget: true,
        expiresAtMs: nowMs + permitLeaseMs,
      });
      requestOfFingerprint.set(request.fingerprint, request.requestId);
      requestOfTarget.set(targetKey, request.requestId);
      return { kind: 'granted', leaseMs: permitLeaseMs };
    },
    renew: (requestId, nowMs) => {
      const permit = permits.get(requestId);
      if (!permit) return false;
      permit.expiresAtMs = nowMs + permitLeaseMs;
      return true;
    },
    freeTarget: (requestId) => {
      const permit = permits.get(requestId);
      if (!permit?.holdsTarget) return;
      permit.holdsTarget = false;
      requestOfTarget.delete(permit.targetKey);
    },
    release: remove,
    onTargetLost: (target) => {
      const targetKey = targetKeyOf(target);
      const lost = [...permits.values()].filter((permit) => permit.targetKey === targetKey);
      lost.forEach(({ request }) => remove(request.requestId));
      return lost.map(({ request }) => request.fingerprint);
    },
    reset: (nowMs) => {
      permits.clear();
      requestOfFingerprint.clear();
      requestOfTarget.clear();
      grantsFromMs = nowMs + permitLeaseMs;
    },
  };
};
