/** A target as crashes are attributed to it; each generation counts as a separate target. */
export interface CrashTarget {
  readonly targetId: string;
  readonly generation: number;
  readonly failureDomain: string;
}

/** A request that was running on a lost target, with the parts of its prompt that other requests may share. */
export interface RequestParts {
  readonly fingerprint: string;
  readonly partIds: readonly string[];
}

/** Reports to other daemons that a target was lost, with the requests that it was running. */
export interface LossUpdate {
  readonly kind: 'loss';
  readonly target: CrashTarget;
  /** Fingerprints of the requests that the target was running for the sending daemon. */
  readonly fingerprints: readonly string[];
  /** The requests whose prompts have parts that other requests may share. */
  readonly requestParts?: readonly RequestParts[] | undefined;
  readonly ageMs: number;
}

/** Reports to other daemons that a suspect request completed on another target. */
export interface ClearedUpdate {
  readonly kind: 'cleared';
  readonly fingerprint: string;
  /**
   * Keys, as returned by `targetKeyOf`, of the lost targets of which the request is no longer
   * suspected.
   */
  readonly targetKeys: readonly string[];
}

/** Reports to other daemons that a request is quarantined, whatever losses they know of. */
export interface VerdictUpdate {
  readonly kind: 'quarantined';
  readonly fingerprint: string;
  readonly ageMs: number;
}

/** An update on crashes that daemons send to each other. */
export type QuarantineUpdate = LossUpdate | ClearedUpdate | VerdictUpdate;

/**
 * The quarantine status of a request.
 *
 * - `clear`: the request may run on any target.
 * - `suspect`: a target was lost while running it. With `IndependentLossAttribution` it needs a permit
 *   to run, and must run on a target that is not in `lostTargetKeys`.
 * - `quarantined`: the losses that the attribution counts are conclusive. It must not run.
 */
export type QuarantineStatus =
  | { readonly kind: 'clear' }
  | {
      readonly kind: 'suspect';
      readonly lostTargetKeys: ReadonlySet<string>;
      /** Failure domains to avoid until `settledAtMs`, as the whole domain may be failing. */
      readonly lostFailureDomains: ReadonlySet<string>;
      readonly settledAtMs: number;
      /** The longest time that the request had run when a target was lost. */
      readonly ranForMs: number;
    }
  | { readonly kind: 'quarantined'; readonly retryAfterMs: number };

/** Detects requests that crash the targets on which they run. */
export interface Quarantine {
  readonly check: (fingerprint: string, nowMs: number) => QuarantineStatus;
  readonly onDispatch: (
    requestId: string,
    fingerprint: string,
    target: CrashTarget,
    nowMs: number,
    partIds?: readonly string[],
  ) => void;
  /**
   * Records the end of a request. A completed request is no longer suspect, and the returned
   * update, if any, must be sent to the other daemons. A stopped request may still cause the loss
   * of its target shortly after; one that the target did not run can't.
   */
  readonly onEnd: (
    requestId: string,
    outcome: 'completed' | 'stopped' | 'not-run',
    nowMs: number,
  ) => ClearedUpdate | undefined;
  /**
   * Records the loss of a target and marks the requests that it was running as suspect. If the target is a
   * member of a group, `ranOn` is the head to which the requests were sent. The returned update must be sent
   * to the other daemons.
   */
  readonly onTargetLost: (target: CrashTarget, nowMs: number, ranOn?: CrashTarget) => LossUpdate;
  readonly onUpdate: (update: QuarantineUpdate, nowMs: number) => void;
  /** Returns the losses of which a request is suspected, as updates for another daemon. */
  readonly lossesOf: (fingerprint: string, nowMs: number) => readonly LossUpdate[];
  /** Returns the number of requests that are tracked because of a crash. */
  readonly size: () => number;
}

/** Returns a key that is unique to one generation of a target. */
export const targetKeyOf = ({
  targetId,
  generation,
}: Pick<CrashTarget, 'targetId' | 'generation'>): string => `${targetId}@${generation}`;
