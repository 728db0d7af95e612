/** Interactive requests are served before batch requests, which keep a small share. */
export type Priority = 'interactive' | 'batch';

/** The properties of a request that admission uses. */
export interface AdmissionRequest {
  readonly id: string;
  readonly customer: string;
  /** Weight of the customer relative to the other customers. */
  readonly weight: number;
  readonly priority: Priority;
  /** Time by which the response must be complete, on the same clock as `nowMs`. */
  readonly deadlineAtMs: number;
  /** Expected cost of the request. */
  readonly estimatedTokens: number;
}

export type RefusalReason = 'no-capacity' | 'queue-full' | 'deadline' | 'larger-than-deadline';

/** A final refusal; the request has not run and is no longer queued. */
export interface AdmissionRefusal {
  readonly kind: 'refused';
  readonly id: string;
  readonly reason: RefusalReason;
  /** Time after which a retry is expected to be admitted. */
  readonly retryAfterMs: number;
}

/** The result of offering a request to the queue. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'queued'; readonly expectedWaitMs: number }
  | AdmissionRefusal;

/** The current state of the queue. */
export interface AdmissionSnapshot {
  readonly capacity: number;
  readonly runningCount: number;
  readonly queuedCount: number;
  readonly queuedTokens: number;
  /** Mean time for which a slot is occupied per token. */
  readonly slotMsPerToken: number;
}

/**
 * Decides which requests for one model or service are admitted, queued or refused.
 *
 * Every call that can free a slot returns the ids of the queued requests that it admitted.
 */
export interface AdmissionQueue {
  /** Admits, queues or refuses a request. A refusal is immediate and final. */
  readonly offer: (request: AdmissionRequest, nowMs: number) => AdmissionDecision;
  /** Ends a running request; `usedTokens` corrects the charge to its customer. */
  readonly release: (id: string, nowMs: number, usedTokens?: number) => readonly string[];
  /** Removes a running or queued request and frees its slot. */
  readonly cancel: (id: string, nowMs: number) => readonly string[];
  /** Refuses the queued requests that can no longer meet their deadlines. */
  readonly expire: (nowMs: number) => readonly AdmissionRefusal[];
  /** Returns the time at which `expire` must be called next; undefined while nothing is queued. */
  readonly nextExpiryAtMs: () => number | undefined;
  /** Sets how many requests may run concurrently; running requests aren't interrupted. */
  readonly setCapacity: (capacity: number, nowMs: number) => readonly string[];
  readonly snapshot: () => AdmissionSnapshot;
}
