import type { Refusal } from './Refusal';

/** A possible destination of a request: the leader of a group, or a target of a service. */
export interface Candidate {
  readonly id: string;
  readonly url: string;
  readonly failureDomain: string;
  readonly maxConcurrent: number;
  /** The generation of a group; for a target of a service, the number of times it was lost. */
  readonly generation: number;
  /** The model version a group has loaded; omitted for a target of a service. */
  readonly modelVersion?: string;
  readonly adapters?: readonly string[];
}

/** A request for a slot, with the properties that admission and routing use. */
export interface SlotRequest {
  readonly requestId: string;
  readonly customerName: string;
  readonly customerWeight: number;
  readonly priority: 'interactive' | 'batch';
  /** On the monotonic clock. */
  readonly deadlineAtMs: number;
  readonly triedIds: ReadonlySet<string>;
  /** Reports whether a candidate may be chosen; all may when omitted. */
  readonly mayUse?: (candidate: Candidate) => boolean;
  readonly prompt: string;
  /** The maximum number of output tokens, if the caller sets one. */
  readonly maxOutputTokens: number | undefined;
}

/** The right to send one request to one candidate until it is released. */
export interface Slot {
  readonly candidate: Candidate;
  /** The reason for choosing this candidate, recorded in the time line. */
  readonly choice: string;
  /** Records the arrival of an output token. */
  readonly onToken: () => void;
  /** Releases the slot; further calls have no effect. */
  readonly release: () => void;
  /** Releases a slot that was not used to send a request. */
  readonly cancel: () => void;
}

/** A slot, or the final refusal of the slot request. */
export type Acquisition =
  | { readonly kind: 'slot'; readonly slot: Slot }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Admits and routes the requests of one model or service. */
export interface SlotPool {
  /** Waits for a slot; aborting `signal` removes the request from the queue immediately. */
  readonly acquire: (slotRequest: SlotRequest, signal: AbortSignal) => Promise<Acquisition>;
}
