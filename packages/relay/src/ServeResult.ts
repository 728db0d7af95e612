import type { Refusal } from './Refusal';

/** When the events of a stream came, for the log. */
export interface StreamTiming {
  /** The target that brought the end. */
  readonly targetId: string;
  readonly triedCount: number;
  readonly events: number;
  readonly firstEventMs: number;
  readonly maxGapMs: number;
}

/** How a request ended; a refusal is still to be written. */
export type ServeResult =
  | {
      readonly kind: 'answered';
      readonly statusCode: number;
      readonly timing?: StreamTiming;
    }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };
