/** The demand of each customer on one daemon, in the unit of the limit. */
export interface DemandUpdate {
  readonly demands: Readonly<Record<string, number>>;
}

/**
 * Splits the limits of customers between daemons in proportion to the demand that each daemon
 * reports.
 */
export interface DemandShares {
  /**
   * Returns this daemon's share of a limit. As long as updates reach every daemon within
   * `maxPropagationMs`, the shares of all daemons add up to no more than the limit.
   */
  readonly shareOf: (customer: string, limit: number, nowMs: number) => number;
  /** Sets this daemon's demand for a customer that has a limit. A demand within the even share counts as none. */
  readonly setDemand: (customer: string, limit: number, demand: number, nowMs: number) => void;
  /** Applies the update of another daemon, which stays valid for `remainingMs`. */
  readonly onUpdate: (
    origin: string,
    update: DemandUpdate,
    remainingMs: number,
    nowMs: number,
  ) => void;
  /** Sets the number of live daemons, including this one. */
  readonly setLiveCount: (liveCount: number, nowMs: number) => void;
  /**
   * Returns the update to publish now; undefined if no demand has changed by more than
   * `minRelativeChange` and the last update is not due for renewal.
   */
  readonly takeUpdate: (nowMs: number) => DemandUpdate | undefined;
  /** Returns the update that was published last. */
  readonly lastPublished: () => DemandUpdate;
}

export interface DemandSharesOptions {
  /** Maximum time for a published update to reach every live daemon. */
  readonly maxPropagationMs?: number;
  /** Time after which a published update expires. */
  readonly updateLifetimeMs?: number;
  /** Fraction of a limit that is split evenly, regardless of demand. */
  readonly evenFraction?: number;
  /** Time for which daemons that are no longer live are still counted when a limit is split. */
  readonly fleetSizeTtlMs?: number;
}

interface ReceivedDemand {
  readonly update: DemandUpdate;
  readonly expiresAtMs: number;
}

interface PublishedDemand {
  readonly demand: number;
  readonly atMs: number;
}

export const defaultUpdateLifetimeMs = 10_000;
const defaultMaxPropagationMs = 1_500;
const defaultEvenFraction = 0.2;
const defaultFleetSizeTtlMs = 7_200_000;
/** A relative change of a demand that is no larger than this does not cause an update. */
const minRelativeChange = 0.2;

/** Creates the shares of a daemon; until `setLiveCount` is called, it counts as the only one. */
export const createDemandShares = (options: DemandSharesOptions = {}): DemandShares => {
  const {
    maxPropagationMs = defaultMaxPropagationMs,
    updateLifetimeMs = defaultUpdateLifetimeMs,
    evenFraction = defaultEvenFraction,
    fleetSizeTtlMs = defaultFleetSizeTtlMs,
  } = options;
  const received = new Map<string, ReceivedDemand>();
  /** Published demand of each customer, oldest first, as far back as it affects the shares. */
  const published = new Map<string, readonly PublishedDemand[]>();
  const demands = new Map<string, number>();
  let liveCount = 1;
  let largestFleet: { count: number; seenAtMs: number } = { count: 1, seenAtMs: 0 };
  let publishedAtMs = -Infinity;
  let lastUpdate: DemandUpdate = { demands: {} };

  const fleetCount = (nowMs: number) =>
    nowMs - largestFleet.seenAtMs > fleetSizeTtlMs ? liveCount : largestFleet.count;

  const evenShare = (limit: number, nowMs: number) => (evenFraction * limit) / fleetCount(nowMs);

  /**
   * Returns the demand that every daemon has certainly received. An increase counts only after
   * `maxPropagationMs`, a decrease immediately.
   */
  const settledDemand = (customer: string, nowMs: number) => {
    const history = published.get(customer) ?? [];
    const settledIndex = history.findLastIndex(({ atMs }) => nowMs - atMs >= maxPropagationMs);
    if (settledIndex === -1) return 0;
    return Math.min(...history.slice(settledIndex).map(({ demand }) => demand));
  };

  const largestOwnDemand = (customer: string) =>
    Math.max(0, ...(published.get(customer) ?? []).map(({ demand }) => demand));

  const othersDemand = (customer: string, nowMs: number) => {
    let sum = 0;
    received.forEach(({ update, expiresAtMs }, origin) => {
      if (expiresAtMs <= nowMs) received.delete(origin);
      else sum += update.demands[customer] ?? 0;
    });
    return sum;
  };

  const trim = (history: readonly PublishedDemand[], nowMs: number) => {
    const settledIndex = history.findLastIndex(({ atMs }) => nowMs - atMs >= maxPropagationMs);
    return history.slice(Math.max(0, settledIndex));
  };

  const hasChanged = (customer: string) => {
    const last = published.get(customer)?.at(-1)?.demand ?? 0;
    const demand = demands.get(customer) ?? 0;
    return Math.abs(demand - last) > minRelativeChange * Math.max(demand, last);
  };

  return {
    shareOf: (customer, limit, nowMs) => {
      const even = evenShare(limit, nowMs);
      const own = settledDemand(customer, nowMs);
      if (own <= 0) return even;
      const total = largestOwnDemand(customer) + othersDemand(customer, nowMs);
      const reachable = Math.min(1, liveCount / fleetCount(nowMs));
      return even + (1 - evenFraction) * limit * reachable * (own / total);
    },
    setDemand: (customer, limit, demand, nowMs) => {
      if (demand > evenShare(limit, nowMs)) demands.set(customer, demand);
      else demands.delete(customer);
    },
    onUpdate: (origin, update, remainingMs, nowMs) => {
      received.set(origin, { update, expiresAtMs: nowMs + remainingMs });
    },
    setLiveCount: (count, nowMs) => {
      liveCount = Math.max(1, count);
      const isLargest = liveCount >= largestFleet.count;
      const isExpired = nowMs - largestFleet.seenAtMs > fleetSizeTtlMs;
      if (isLargest || isExpired) largestFleet = { count: liveCount, seenAtMs: nowMs };
    },
    takeUpdate: (nowMs) => {
      const customers = new Set([...demands.keys(), ...published.keys()]);
      const isDue = customers.size > 0 && nowMs - publishedAtMs >= updateLifetimeMs / 2;
      if (!isDue && ![...customers].some(hasChanged)) return undefined;
      publishedAtMs = nowMs;
      customers.forEach((customer) => {
        const entry = { demand: demands.get(customer) ?? 0, atMs: nowMs };
        const history = trim([...(published.get(customer) ?? []), entry], nowMs);
        if (history.every(({ demand }) => demand === 0)) published.delete(customer);
        else published.set(customer, history);
      });
      lastUpdate = { demands: Object.fromEntries(demands) };
      return lastUpdate;
    },
    lastPublished: () => lastUpdate,
  };
};
