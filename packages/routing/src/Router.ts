/** A target to which a request may be sent. */
export interface Candidate {
  readonly id: string;
  readonly failureDomain: string;
  readonly maxConcurrent: number;
  /** A target with a new generation starts with an empty cache and no history. */
  readonly generation: number;
}

/** The properties of a request that target selection uses. */
export interface RouteRequest {
  readonly id: string;
  readonly customer: string;
  /** One hash per block of the prompt, computed over the prompt up to the end of the block. */
  readonly prefixHashes: readonly string[];
  readonly promptTokens: number;
  /** Targets to which the request was already sent. */
  readonly triedIds: ReadonlySet<string>;
}

/** The load that a target reported `ageMs` ago. */
export interface LoadReport {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly ageMs: number;
}

/** A report that a target has cached or evicted a prefix. Reports may be late or missing. */
export interface CacheEvent {
  readonly kind: 'stored' | 'evicted';
  readonly prefixHash: string;
}

/**
 * Receives the progress of dispatched requests, and the load reports and cache events of targets.
 */
export interface TargetObserver {
  readonly onDispatch: (candidate: Candidate, request: RouteRequest, nowMs: number) => void;
  readonly onFirstToken: (requestId: string, nowMs: number) => void;
  readonly onToken: (requestId: string, nowMs: number) => void;
  readonly onEnd: (requestId: string, nowMs: number) => void;
  readonly onReport: (targetId: string, report: LoadReport, nowMs: number) => void;
  readonly onCacheEvents: (targetId: string, events: readonly CacheEvent[], nowMs: number) => void;
}

/** Selects targets, using what it observed of earlier requests. */
export interface Router extends TargetObserver {
  /** Returns the selected target; undefined if every candidate was tried. */
  readonly choose: (
    candidates: readonly Candidate[],
    request: RouteRequest,
    nowMs: number,
  ) => Candidate | undefined;
  /** Returns how many requests of this process are in flight on a target. */
  readonly inFlight: (targetId: string) => number;
  /**
   * Returns the ratio of a target's time between tokens to the mean of all targets; decays to 1
   * while the target produces no tokens.
   */
  readonly slowdownFactor: (targetId: string, nowMs: number) => number;
}
