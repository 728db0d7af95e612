import { createLinearRegression, type LinearRegression } from './createLinearRegression';

/** What a caller says about the output of a request. */
export interface OutputClaim {
  /** Names requests of one kind, for example their route and model. */
  readonly kind: string;
  /** The caller's estimate, if it gave one. */
  readonly hintTokens: number | undefined;
  readonly maxTokens: number | undefined;
}

/** Estimates how many tokens requests generate from what earlier requests of their kind have generated. */
export interface OutputEstimates {
  readonly estimate: (claim: OutputClaim, nowMs: number) => number;
  readonly onEnd: (claim: OutputClaim, outputTokens: number, nowMs: number) => void;
}

export interface OutputEstimatesOptions {
  /** Mean output of all requests; undefined if the configuration doesn't name it. */
  readonly usualTokens: () => number | undefined;
  readonly maxKinds?: number;
}

/** What has been learned of one kind of request. */
interface KindEntry {
  readonly byHint: LinearRegression;
  readonly byMax: LinearRegression;
  meanTokens: number | undefined;
  /** Mean ratio of the output to its estimate; a mean is above the median that logarithms give. */
  meanRatio: number;
  ratioCount: number;
  endedCount: number;
  endedAtMs: number;
}

const defaultMaxKinds = 256;
/** Weight of a new request, so that about the latest fifty count. */
const smoothing = 0.02;
/** The regressions predict the claim itself until they have this many points. */
const regressionPoints = 20;
const forgetAfterMs = 600_000;
const defaultTokens = 100;
/** Ratios of output to estimate beyond this are counted as this. */
const maxRatio = 8;

const clampRatio = (ratio: number) => Math.min(maxRatio, Math.max(1 / maxRatio, ratio));

const createEntry = (): KindEntry => ({
  byHint: createLinearRegression(smoothing),
  byMax: createLinearRegression(smoothing),
  meanTokens: undefined,
  meanRatio: 1,
  ratioCount: 1,
  endedCount: 0,
  endedAtMs: 0,
});

const predictByLog = (regression: LinearRegression, tokens: number): number =>
  // Until the regression has enough points it predicts the claim itself.
  Math.exp(regression.predict(Math.log(tokens), 1));

/** Creates estimates that know no requests yet. */
export const createOutputEstimates = (options: OutputEstimatesOptions): OutputEstimates => {
  const { maxKinds = defaultMaxKinds } = options;
  /** In the order in which their latest requests ended. */
  const kinds = new Map<string, KindEntry>();
  let overallTokens: number | undefined;

  const find = (kind: string, nowMs: number): KindEntry | undefined => {
    const entry = kinds.get(kind);
    return entry !== undefined && nowMs - entry.endedAtMs <= forgetAfterMs ? entry : undefined;
  };

  const rawEstimate = (
    { hintTokens = 0, maxTokens = 0 }: OutputClaim,
    entry: KindEntry | undefined,
  ): number => {
    if (hintTokens > 0) return entry ? predictByLog(entry.byHint, hintTokens) : hintTokens;
    if (entry?.meanTokens !== undefined)
      return maxTokens > 0 ? predictByLog(entry.byMax, maxTokens) : entry.meanTokens;
    return options.usualTokens() ?? overallTokens ?? defaultTokens;
  };

  const estimate: OutputEstimates['estimate'] = (claim, nowMs) => {
    const entry = find(claim.kind, nowMs);
    const tokens = rawEstimate(claim, entry) * (entry?.meanRatio ?? 1);
    const { maxTokens = 0 } = claim;
    return Math.max(1, maxTokens > 0 ? Math.min(maxTokens, tokens) : tokens);
  };

  const smooth = (before: number | undefined, sample: number): number =>
    before === undefined ? sample : before + smoothing * (sample - before);

  const learnRatio = (entry: KindEntry, ratio: number) => {
    // What was learned against the claims themselves says nothing of the regressions.
    const isFirstRegression = entry.endedCount === regressionPoints;
    const { meanRatio, ratioCount } = isFirstRegression ? { meanRatio: 1, ratioCount: 1 } : entry;
    const weight = Math.max(smoothing, 1 / (ratioCount + 1));
    Object.assign(entry, {
      meanRatio: meanRatio + weight * (ratio - meanRatio),
      ratioCount: ratioCount + 1,
      endedCount: entry.endedCount + 1,
    });
  };

  return {
    estimate,
    onEnd: (claim, outputTokens, nowMs) => {
      const actual = Math.max(1, outputTokens);
      const entry = find(claim.kind, nowMs) ?? createEntry();
      const { hintTokens = 0, maxTokens = 0 } = claim;
      learnRatio(entry, clampRatio(actual / rawEstimate(claim, entry)));
      entry.meanTokens = smooth(entry.meanTokens, actual);
      if (hintTokens > 0) entry.byHint.add(Math.log(hintTokens), Math.log(actual));
      if (maxTokens > 0) entry.byMax.add(Math.log(maxTokens), Math.log(actual));
      entry.endedAtMs = nowMs;
      overallTokens = smooth(overallTokens, actual);
      kinds.delete(claim.kind);
      kinds.set(claim.kind, entry);
      if (kinds.size > maxKinds) kinds.delete(kinds.keys().next().value!);
    },
  };
};
