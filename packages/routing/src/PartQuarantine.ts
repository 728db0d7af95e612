import type { LossUpdate } from './Quarantine';

/** The loss of a target, with the parts of prompts that are suspected of it. */
export interface PartLoss {
  /** Fingerprints of the lost requests that held each suspected part, by its id. */
  readonly holders: ReadonlyMap<string, ReadonlySet<string>>;
}

/**
 * The quarantine status of a part.
 *
 * - `clear`: no request with the part was on a lost target, or others with it have completed since.
 * - `suspect`: the part was on a lost target.
 * - `held`: the part seems to crash targets, and too few other requests have completed to tell. No request with it may
 *   run for a short time, in which others can complete.
 * - `quarantined`: no request with the part may run.
 */
export type PartStatus =
  | { readonly kind: 'clear' }
  | { readonly kind: 'suspect' }
  | { readonly kind: 'held' | 'quarantined'; readonly retryAfterMs: number };

/** Detects parts of prompts that crash the targets on which requests with them run. */
export interface PartQuarantine {
  readonly check: (partId: string, nowMs: number) => PartStatus;
  /** Records the loss of a target that was reported by this daemon or another one. */
  readonly onLoss: (update: LossUpdate, nowMs: number) => void;
  /** Records that a request completed whose prompt has these parts, which may be none that others share. */
  readonly onRequestCompleted: (partIds: readonly string[], nowMs: number) => void;
  /**
   * Clears a part with which a request completed. Returns the keys of the lost targets of which the part is no
   * longer suspected, to be sent to the other daemons, or undefined if there is nothing to send.
   */
  readonly onCompleted: (partId: string, sentAtMs: number) => readonly string[] | undefined;
  /** Applies that the part is not suspected of the loss of some targets, as another daemon reported. */
  readonly onCleared: (partId: string, targetKeys: readonly string[]) => void;
  /** Applies a verdict of another daemon. */
  readonly onVerdict: (partId: string, ageMs: number, nowMs: number) => void;
  /** Returns the ids of the lost targets of which a part is suspected. */
  readonly lostTargetIdsOf: (partId: string) => readonly string[];
}
