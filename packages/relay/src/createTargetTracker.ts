/** Statistics that this daemon has collected about one run of a target. */
export interface TargetStats {
  readonly inFlight: number;
  /** Since when no data has arrived while requests were in progress; undefined without requests. */
  readonly silentSinceMs: number | undefined;
  /** Smoothed time between two events of a stream; undefined before the first pair. */
  readonly gapMs: number | undefined;
  /** Smoothed time to a complete response. */
  readonly responseMs: number | undefined;
  /** Smoothed fraction of failed requests, from 0 to 1; decays over time. */
  readonly failureRate: number;
  /** Until when the target gets no new requests if another one is available. */
  readonly avoidUntilMs: number;
  /** When the target last sent anything. */
  readonly lastProgressAtMs: number;
  /** When a connection to the target last failed. */
  readonly unreachedAtMs: number;
}

/** Collects statistics about targets from the requests sent to them. */
export interface TargetTracker {
  readonly read: (targetKey: string, nowMs: number) => TargetStats;
  readonly onSend: (targetKey: string, nowMs: number) => void;
  /** Records that bytes of a response have arrived. */
  readonly onProgress: (targetKey: string, nowMs: number) => void;
  readonly onGap: (targetKey: string, gapMs: number) => void;
  readonly onResponse: (targetKey: string, durationMs: number, nowMs: number) => void;
  /** Records that a connection to the target failed before the response began. */
  readonly onUnreached: (targetKey: string, nowMs: number) => void;
  readonly onFailure: (targetKey: string, nowMs: number) => void;
  /** Forgets how long the target took, since that says nothing about it any more. */
  readonly forgetTimes: (targetKey: string) => void;
  readonly onEnd: (targetKey: string) => void;
  readonly avoid: (targetKey: string, untilMs: number) => void;
  /** Returns the number of requests in progress of each target that has any. */
  readonly loads: () => Readonly<Record<string, number>>;
  /** Removes targets that are not among the given ones and have no requests in progress. */
  readonly retain: (targetKeys: ReadonlySet<string>) => void;
}

interface TargetEntry {
  inFlight: number;
  awaitedSinceMs: number;
  lastProgressAtMs: number;
  gapMs: number | undefined;
  responseMs: number | undefined;
  failureRate: number;
  failureAtMs: number;
  avoidUntilMs: number;
  unreachedAtMs: number;
}

const smoothing = 0.15;
/** Half-life of the failure rate, so that a recovered target gets requests again. */
const failureHalfLifeMs = 1_500;

const applySmoothing = (before: number | undefined, sample: number): number =>
  before === undefined ? sample : before + smoothing * (sample - before);

const decayedFailureRate = ({ failureRate, failureAtMs }: TargetEntry, nowMs: number): number =>
  failureRate * 0.5 ** ((nowMs - failureAtMs) / failureHalfLifeMs);

export const createTargetTracker = (): TargetTracker => {
  const entries = new Map<string, TargetEntry>();

  const getOrCreateEntry = (targetKey: string): TargetEntry => {
    const known = entries.get(targetKey);
    if (known !== undefined) return known;
    const created: TargetEntry = {
      inFlight: 0,
      awaitedSinceMs: 0,
      lastProgressAtMs: -Infinity,
      gapMs: undefined,
      responseMs: undefined,
      failureRate: 0,
      failureAtMs: 0,
      avoidUntilMs: -Infinity,
      unreachedAtMs: -Infinity,
    };
    entries.set(targetKey, created);
    return created;
  };

  const recordOutcome = (targetKey: string, sample: number, nowMs: number) => {
    const entry = getOrCreateEntry(targetKey);
    entry.failureRate = applySmoothing(decayedFailureRate(entry, nowMs), sample);
    entry.failureAtMs = nowMs;
  };

  return {
    read: (targetKey, nowMs) => {
      const entry = getOrCreateEntry(targetKey);
      const silentSinceMs =
        entry.inFlight === 0 ? undefined : Math.max(entry.awaitedSinceMs, entry.lastProgressAtMs);
      return { ...entry, silentSinceMs, failureRate: decayedFailureRate(entry, nowMs) };
    },
    onSend: (targetKey, nowMs) => {
      const entry = getOrCreateEntry(targetKey);
      if (entry.inFlight === 0) entry.awaitedSinceMs = nowMs;
      entry.inFlight += 1;
    },
    onProgress: (targetKey, nowMs) => {
      getOrCreateEntry(targetKey).lastProgressAtMs = nowMs;
    },
    onGap: (targetKey, gapMs) => {
      const entry = getOrCreateEntry(targetKey);
      entry.gapMs = applySmoothing(entry.gapMs, gapMs);
    },
    onResponse: (targetKey, durationMs, nowMs) => {
      const entry = getOrCreateEntry(targetKey);
      entry.responseMs = applySmoothing(entry.responseMs, durationMs);
      recordOutcome(targetKey, 0, nowMs);
    },
    onUnreached: (targetKey, nowMs) => {
      getOrCreateEntry(targetKey).unreachedAtMs = nowMs;
    },
    onFailure: (targetKey, nowMs) => recordOutcome(targetKey, 1, nowMs),
    forgetTimes: (targetKey) => {
      const entry = getOrCreateEntry(targetKey);
      entry.gapMs = undefined;
      entry.responseMs = undefined;
    },
    onEnd: (targetKey) => {
      const entry = getOrCreateEntry(targetKey);
      entry.inFlight = Math.max(0, entry.inFlight - 1);
    },
    avoid: (targetKey, untilMs) => {
      const entry = getOrCreateEntry(targetKey);
      entry.avoidUntilMs = Math.max(entry.avoidUntilMs, untilMs);
    },
    loads: () =>
      Object.fromEntries(
        [...entries]
          .filter(([, { inFlight }]) => inFlight > 0)
          .map(([key, { inFlight }]) => [key, inFlight]),
      ),
    retain: (targetKeys) => {
      [...entries]
        .filter(([key, { inFlight }]) => inFlight === 0 && !targetKeys.has(key))
        .forEach(([key]) => entries.delete(key));
    },
  };
};
