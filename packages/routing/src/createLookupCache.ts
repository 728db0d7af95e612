export interface LookupCacheOptions {
  readonly maxEntries?: number;
  /** Maximum total size of the cached answers. */
  readonly maxBytes?: number;
}

/** Identifies a lookup by its caller and its request. Answers are never shared between callers. */
export interface LookupKey {
  readonly team: string;
  readonly customer: string;
  readonly caller: string;
  readonly routeName: string;
  /** Method, path, query and the headers on which the answer depends. */
  readonly target: string;
}

/**
 * Whether a lookup is answered from the cache, joins a lookup in flight, or must be sent to a
 * target.
 */
export type LookupDecision<Answer> =
  | { readonly kind: 'kept'; readonly answer: Answer }
  | { readonly kind: 'join'; readonly answer: Promise<Answer | undefined> }
  | { readonly kind: 'fetch'; readonly flight: LookupFlight<Answer> };

/** A lookup in flight, for which later identical lookups of the same caller wait. */
export interface LookupFlight<Answer> {
  /** Completes the lookup with an answer, which is cached for `ttlMs`. */
  readonly succeed: (answer: Answer, sizeBytes: number, keepMs: number, nowMs: number) => void;
  /**
   * Ends the lookup without an answer; the lookups that joined it get undefined and must fetch for
   * themselves.
   */
  readonly fail: () => void;
}

/** Caches answers per caller and coalesces concurrent identical lookups. */
export interface LookupCache<Answer> {
  readonly find: (key: LookupKey, nowMs: number) => LookupDecision<Answer>;
  /**
   * Removes the cached answers of a caller and stops answers in flight from being cached; used
   * after a call of the caller that may change them.
   */
  readonly forget: (caller: Pick<LookupKey, 'team' | 'customer' | 'caller'>) => void;
}

interface Kept<Answer> {
  readonly answer: Answer;
  readonly sizeBytes: number;
  readonly expiresAtMs: number;
  readonly callerKey: string;
}

const defaultMaxEntries = 10_000;
const defaultMaxBytes = 16_777_216;

/** Encodes a list of strings without ambiguity, so that different lists never share a key. */
const joinParts = (parts: readonly string[]) => JSON.stringify(parts);

const callerKeyOf = ({ team, customer, caller }: Pick<LookupKey, 'team' | 'customer' | 'caller'>) =>
  joinParts([team, customer, caller]);

/** Creates an empty cache, which evicts the oldest answers first. */
export const createLookupCache = <Answer>(
  options: LookupCacheOptions = {},
): LookupCache<Answer> => {
  const { maxEntries = defaultMaxEntries, maxBytes = defaultMaxBytes } = options;
  const kept = new Map<string, Kept<Answer>>();
  const keptOfCaller = new Map<string, Set<string>>();
  const flights = new Map<string, Promise<Answer | undefined>>();
  /** Lookups in flight, by caller, whose answers may be cached; `invalidate` removes them. */
  const keepable = new Map<string, Set<string>>();
  let sizeBytes = 0;

  const drop = (key: string) => {
    const entry = kept.get(key);
    if (!entry) return;
    kept.delete(key);
    sizeBytes -= entry.sizeBytes;
    const keys = keptOfCaller.get(entry.callerKey);
    keys?.delete(key);
    if (keys?.size === 0) keptOfCaller.delete(entry.callerKey);
  };

  const keep = (key: string, entry: Kept<Answer>) => {
    if (entry.sizeBytes > maxBytes) return;
    drop(key);
    kept.set(key, entry);
    sizeBytes += entry.sizeBytes;
    const keys = keptOfCaller.get(entry.callerKey) ?? new Set();
    keptOfCaller.set(entry.callerKey, keys.add(key));
    for (const oldest of kept.keys()) {
      if (kept.size <= maxEntries && sizeBytes <= maxBytes) return;
      drop(oldest);
    }
  };

  const takeKeepable = (callerKey: string, key: string): boolean => {
    const keys = keepable.get(callerKey);
    const wasKeepable = keys?.delete(key) ?? false;
    if (keys?.size === 0) keepable.delete(callerKey);
    return wasKeepable;
  };

  const startFlight = (callerKey: string, key: string): LookupFlight<Answer> => {
    let settle: (answer: Answer | undefined) => void = () => {};
    const flight = new Promise<Answer | undefined>((resolve) => {
      settle = resolve;
    });
    flights.set(key, flight);
    keepable.set(callerKey, (keepable.get(callerKey) ?? new Set()).add(key));
    const end = (answer: Answer | undefined) => {
      if (flights.get(key) === flight) flights.delete(key);
      settle(answer);
    };
    return {
      succeed: (answer, answerBytes, keepMs, nowMs) => {
        const mayKeep = flights.get(key) === flight && takeKeepable(callerKey, key);
        if (mayKeep && keepMs > 0) {
          keep(key, { answer, sizeBytes: answerBytes, expiresAtMs: nowMs + keepMs, callerKey });
        }
        end(answer);
      },
      fail: () => {
        if (flights.get(key) === flight) takeKeepable(callerKey, key);
        end(undefined);
      },
    };
  };

  return {
    find: (lookup, nowMs) => {
      const callerKey = callerKeyOf(lookup);
      const key = joinParts([callerKey, lookup.routeName, lookup.target]);
      const entry = kept.get(key);
      if (entry && entry.expiresAtMs > nowMs) return { kind: 'kept', answer: entry.answer };
      drop(key);
      const flight = flights.get(key);
      if (flight) return { kind: 'join', answer: flight };
      return { kind: 'fetch', flight: startFlight(callerKey, key) };
    },
    forget: (caller) => {
      const callerKey = callerKeyOf(caller);
      [...(keptOfCaller.get(callerKey) ?? [])].forEach(drop);
      const flying = keepable.get(callerKey) ?? new Set();
      flying.forEach((key) => flights.delete(key));
      keepable.delete(callerKey);
    },
  };
};
