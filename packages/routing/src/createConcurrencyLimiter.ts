export interface ConcurrencyLimiterOptions {
  /** Upper bound of the limit. */
  readonly maxConcurrent: number;
  /** Initial limit, before latencies have been observed; defaults to `maxConcurrent`. */
  readonly initialConcurrent?: number;
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
}

/**
 * Adapts the concurrency limit of one group to the highest value that meets the latency targets of
 * its streams.
 */
export interface ConcurrencyLimiter {
  /**
   * Returns how many requests may run concurrently; at least a quarter of `maxConcurrent`, and at
   * least 1.
   */
  readonly limit: () => number;
  /** Records the time from dispatch to the first token. */
  readonly onFirstToken: (durationMs: number, inFlight: number, nowMs: number) => void;
  /** Records the time between two tokens of one stream. */
  readonly onBetweenTokens: (durationMs: number, inFlight: number, nowMs: number) => void;
  /** Changes the upper bound of the limit. */
  readonly setMaxConcurrent: (maxConcurrent: number) => void;
}

const windowMs = 1_000;
const minSamples = 20;
/** Fraction of the samples that may miss a target, as the targets apply to the 95th percentile. */
const allowedMissFraction = 0.05;
const decreaseFactor = 0.9;
const increaseFraction = 0.03;
/** Minimum utilization of the limit at which meeting the targets justifies a higher limit. */
const minUsedFraction = 0.8;
/** Keeps the limit usable for a group that misses its targets at any concurrency. */
const minFraction = 0.25;

/** Counts how many latency samples miss their target. */
interface MissCounter {
  readonly add: (durationMs: number) => void;
  readonly sampleCount: () => number;
  readonly isMissed: () => boolean;
  readonly clear: () => void;
}

const createMissCounter = (targetMs: number): MissCounter => {
  let sampleCount = 0;
  let missCount = 0;
  return {
    add: (durationMs) => {
      sampleCount += 1;
      if (durationMs > targetMs) missCount += 1;
    },
    sampleCount: () => sampleCount,
    isMissed: () => missCount > allowedMissFraction * sampleCount,
    clear: () => {
      sampleCount = 0;
      missCount = 0;
    },
  };
};

/**
 * Creates a limiter with additive increase while the targets are met and multiplicative decrease
 * otherwise.
 */
export const createConcurrencyLimiter = (
  options: ConcurrencyLimiterOptions,
): ConcurrencyLimiter => {
  let { maxConcurrent } = options;
  let limit = options.initialConcurrent ?? maxConcurrent;
  const firstToken = createMissCounter(options.firstTokenTargetMs);
  const betweenTokens = createMissCounter(options.betweenTokensTargetMs);
  let peakInFlight = 0;
  let windowStartMs: number | undefined;

  const minLimit = () => Math.max(1, Math.ceil(maxConcurrent * minFraction));

  const startWindow = (nowMs: number) => {
    firstToken.clear();
    betweenTokens.clear();
    peakInFlight = 0;
    windowStartMs = nowMs;
  };

  const adjust = () => {
    if (firstToken.isMissed() || betweenTokens.isMissed()) {
      limit = Math.max(minLimit(), Math.min(limit, peakInFlight) * decreaseFactor);
      return;
    }
    if (peakInFlight < limit * minUsedFraction) return;
    limit = Math.min(maxConcurrent, limit + Math.max(1, limit * increaseFraction));
  };

  const recordSample = (
    counter: MissCounter,
    durationMs: number,
    inFlight: number,
    nowMs: number,
  ) => {
    counter.add(durationMs);
    peakInFlight = Math.max(peakInFlight, inFlight);
    windowStartMs ??= nowMs;
    const sampleCount = firstToken.sampleCount() + betweenTokens.sampleCount();
    if (nowMs - windowStartMs < windowMs || sampleCount < minSamples) return;
    adjust();
    startWindow(nowMs);
  };

  return {
    limit: () => Math.max(minLimit(), Math.floor(Math.min(limit, maxConcurrent))),
    onFirstToken: (durationMs, inFlight, nowMs) =>
      recordSample(firstToken, durationMs, inFlight, nowMs),
    onBetweenTokens: (durationMs, inFlight, nowMs) =>
      recordSample(betweenTokens, durationMs, inFlight, nowMs),
    setMaxConcurrent: (nextMaxConcurrent) => {
      maxConcurrent = nextMaxConcurrent;
      limit = Math.min(limit, maxConcurrent);
    },
  };
};
