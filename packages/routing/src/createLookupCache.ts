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
 * Whether a lookup is served from the cache, joins a lookup in flight, or must be sent to a
 * target.
 */
export type LookupDecision<Answer> =
  | { readonly kind: 'hit'; readonly answer: Answer }
  | { readonly kind: 'join'; readonly answer: Promise<Answer | undefined> }
  | { readonly kind: 'fetch'; readonly flight: LookupFlight<Answer> };

/** A lookup in flight, for which later identical lookups of the same caller wait. */
export interface LookupFlight<Answer> {
  /** Completes the lookup with an answer, which is cached for `ttlMs`. */
  readonly succeed: (answer: Answer, sizeBytes: number, ttlMs: number, nowMs: number) => void;
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
  readonly invalidate: (caller: Pick<LookupKey, 'team' | 'customer' | 'caller'>) => void;
}

interface CacheEntry<Answer> {
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
  const entries = new Map<string, CacheEntry<Answer>>();
  const keysOfCaller = new Map<string, Set<string>>();
  const flights = new Map<string, Promise<Answer | undefined>>();
  /** Lookups in flight, by caller, whose answers may be cached; `invalidate` removes them. */
  const cacheableKeys = new Map<string, Set<string>>();
  let sizeBytes = 0;

  const evict = (key: string) => {
    const entry = entries.get(key);
    if (!entry) return;
    entries.delete(key);
    sizeBytes -= entry.sizeBytes;
    const keys = keysOfCaller.get(entry.callerKey);
    keys?.delete(key);
    if (keys?.size === 0) keysOfCaller.delete(entry.callerKey);
  };

  const store = (key: string, entry: CacheEntry<Answer>) => {
    if (entry.sizeBytes > maxBytes) return;
    evict(key);
    entries.set(key, entry);
    sizeBytes += entry.sizeBytes;
    const keys = keysOfCaller.get(entry.callerKey) ?? new Set();
    keysOfCaller.set(entry.callerKey, keys.add(key));
    for (const oldest of entries.keys()) {
      if (entries.size <= maxEntries && sizeBytes <= maxBytes) return;
      evict(oldest);
    }
  };

  const removeCacheable = (callerKey: string, key: string): boolean => {
    const keys = cacheableKeys.get(callerKey);
    const wasCacheable = keys?.delete(key) ?? false;
    if (keys?.size === 0) cacheableKeys.delete(callerKey);
    return wasCacheable;
  };

  const startFlight = (callerKey: string, key: string): LookupFlight<Answer> => {
    let resolveFlight: (answer: Answer | undefined) => void = () => {};
    const flight = new Promise<Answer | undefined>((resolve) => {
      resolveFlight = resolve;
    });
    flights.set(key, flight);
    cacheableKeys.set(callerKey, (cacheableKeys.get(callerKey) ?? new Set()).add(key));
    const end = (answer: Answer | undefined) => {
      if (flights.get(key) === flight) flights.delete(key);
      resolveFlight(answer);
    };
    return {
      succeed: (answer, answerBytes, ttlMs, nowMs) => {
        const isCacheable = flights.get(key) === flight && removeCacheable(callerKey, key);
        if (isCacheable && ttlMs > 0) {
          store(key, { answer, sizeBytes: answerBytes, expiresAtMs: nowMs + ttlMs, callerKey });
        }
        end(answer);
      },
      fail: () => {
        if (flights.get(key) === flight) removeCacheable(callerKey, key);
        end(undefined);
      },
    };
  };

  return {
    find: (lookup, nowMs) => {
      const callerKey = callerKeyOf(lookup);
      const key = joinParts([callerKey, lookup.routeName, lookup.target]);
      const entry = entries.get(key);
      if (entry && entry.expiresAtMs > nowMs) return { kind: 'hit', answer: entry.answer };
      evict(key);
      const flight = flights.get(key);
      if (flight) return { kind: 'join', answer: flight };
      return { kind: 'fetch', flight: startFlight(callerKey, key) };
    },
    invalidate: (caller) => {
      const callerKey = callerKeyOf(caller);
      [...(keysOfCaller.get(callerKey) ?? [])].forEach(evict);
      const inFlightKeys = cacheableKeys.get(callerKey) ?? new Set();
      inFlightKeys.forEach((key) => flights.delete(key));
      cacheableKeys.delete(callerKey);
    },
  };
};
