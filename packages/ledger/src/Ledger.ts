/** Identifies a non-idempotent request and sets how long its key is remembered. */
export interface ClaimRequest {
  readonly team: string;
  readonly customer: string;
  /** Distinguishes the callers of one customer. */
  readonly caller: string;
  readonly routeName: string;
  /** The Idempotency-Key, or the digest of the body on routes without one. */
  readonly key: string;
  /** Digest of the request; the same key with another digest is refused. */
  readonly requestDigest: string;
  readonly requestId: string;
  readonly windowMs: number;
}

/** A response stored for callers that resend a request. */
export interface StoredResponse {
  readonly statusCode: number;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** The right to dispatch one request once. */
export interface Grant {
  readonly claimId: string;
  readonly request: ClaimRequest;
  /**
   * Consumes the right and must be called synchronously before the request is sent. Returns false
   * if the grant was abandoned in the meantime; the request must then not be sent.
   */
  readonly tryDispatch: () => boolean;
}

/**
 * How a granted request ended. `not-run` is valid only if the request was never dispatched or no byte of the
 * request was sent.
 */
export type RunOutcome =
  | { readonly kind: 'ran'; readonly answer?: StoredResponse }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown' };

/** The decision of the ledger on a request. */
export type ClaimDecision =
  | { readonly kind: 'granted'; readonly grant: Grant }
  | { readonly kind: 'running'; readonly retryAfterMs: number }
  | { readonly kind: 'ran'; readonly answer?: StoredResponse | undefined }
  | { readonly kind: 'unknown'; readonly retryAfterMs: number }
  | { readonly kind: 'key-reused' }
  | { readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs: number };

/** Decides whether a non-idempotent request may run, at most once across all daemons. */
export interface Ledger {
  /** Claims the right to run a request that ends by `deadlineMs`, a monotonic clock reading. */
  readonly claim: (request: ClaimRequest, deadlineMs: number) => Promise<ClaimDecision>;
  /** Records how a granted request ended; retries in the background until the write succeeds. */
  readonly finish: (grant: Grant, outcome: RunOutcome) => Promise<void>;
}
