/** Learns how times at targets compare with predictions. */
export interface SpeedEstimates {
  readonly onSample: (
    targetKey: string,
    predictedMs: number,
    observedMs: number,
    nowMs: number,
  ) => void;
  /** Returns the factor by which a target is slower than the others; decays to 1 without samples. */
  readonly slownessOf: (targetKey: string, nowMs: number) => number;
  /** Returns the factor between observed and predicted times of all targets. */
  readonly calibration: () => number;
  readonly retain: (targetKeys: ReadonlySet<string>) => void;
}

interface TargetEntry {
  logRatio: number;
  sampleCount: number;
  sampledAtMs: number;
}

const overallSmoothing = 0.01;
const targetSmoothing = 0.1;
/** Samples until which a target counts as normal by half. */
const halfTrustSamples = 4;
/** Time in which a target without samples halves its distance to normal. */
const halfLifeMs = 8_000;
const maxSlowness = 8;
const maxLogSample = Math.log(20);

const clampLog = (value: number) => Math.min(maxLogSample, Math.max(-maxLogSample, value));

/** Creates estimates that take all targets for normal. */
export const createSpeedEstimates = (): SpeedEstimates => {
  const entries = new Map<string, TargetEntry>();
  let overall = 0;
  let overallCount = 0;

  return {
    onSample: (targetKey, predictedMs, observedMs, nowMs) => {
      if (!(predictedMs > 0) || !(observedMs > 0)) return;
      const sample = clampLog(Math.log(observedMs / predictedMs));
      overallCount += 1;
      overall += Math.max(overallSmoothing, 1 / overallCount) * (sample - overall);
      const entry = entries.get(targetKey) ?? { logRatio: 0, sampleCount: 0, sampledAtMs: nowMs };
      entry.sampleCount += 1;
      const weight = Math.max(targetSmoothing, 1 / entry.sampleCount);
      entry.logRatio += weight * (sample - entry.logRatio);
      entry.sampledAtMs = nowMs;
      entries.set(targetKey, entry);
    },
    slownessOf: (targetKey, nowMs) => {
      const entry = entries.get(targetKey);
      if (entry === undefined) return 1;
      const trust = entry.sampleCount / (entry.sampleCount + halfTrustSamples);
      const decay = 0.5 ** ((nowMs - entry.sampledAtMs) / halfLifeMs);
      const slowness = Math.exp((entry.logRatio - overall) * trust * decay);
      return Math.min(maxSlowness, Math.max(1 / maxSlowness, slowness));
    },
    calibration: () => Math.exp(overall),
    retain: (targetKeys) =>
      [...entries.keys()]
        .filter((key) => !targetKeys.has(key))
        .forEach((key) => entries.delete(key)),
  };
};
