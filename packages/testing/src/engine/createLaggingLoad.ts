/** The load of an engine at one moment. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly maxRunning: number;
  readonly kvUsedFraction: number;
  readonly atMs: number;
}

/** Load reports that are returned with a delay. */
export interface LaggingLoad {
  readonly read: () => LoadReport;
  readonly stop: () => void;
}

const sampleIntervalMs = 20;

/** Samples the load until stopped; reads return the sample taken `lagMs` ago. */
export const createLaggingLoad = (lagMs: number, sample: () => LoadReport): LaggingLoad => {
  if (lagMs === 0) return { read: sample, stop: () => {} };
  let samples: readonly LoadReport[] = [sample()];
  const timer = setInterval(() => {
    const oldest = samples.findLast(({ atMs }) => atMs <= Date.now() - lagMs) ?? samples[0]!;
    samples = [...samples.filter(({ atMs }) => atMs >= oldest.atMs), sample()];
  }, sampleIntervalMs);
  return {
    read: () => samples.findLast(({ atMs }) => atMs <= Date.now() - lagMs) ?? samples[0]!,
    stop: () => clearInterval(timer),
  };
};
