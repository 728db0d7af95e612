import type { EndProof } from './attemptStream';
import type { Refusal } from './Refusal';

/** Event timing of a stream, for the log. */
export interface StreamTiming {
  /** The target that completed the stream. */
  readonly targetId: string;
  readonly triedCount: number;
  readonly events: number;
  readonly firstEventMs: number;
  readonly maxGapMs: number;
  readonly endProof: EndProof;
}

/** The result of serving a request; a refusal has not been written to the caller yet. */
export type ServeResult =
  | {
      readonly kind: 'answered';
      readonly statusCode: number;
      readonly timing?: StreamTiming;
    }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };
