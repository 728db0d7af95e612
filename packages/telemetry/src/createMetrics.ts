import * as hdr from 'hdr-histogram-js';
import * as prometheus from 'prom-client';

/** Records values, such as durations in milliseconds, and computes their quantiles. */
export interface Histogram {
  readonly record: (value: number) => void;
  readonly quantile: (fraction: number) => number;
  readonly count: () => number;
}

/** Counts occurrences by label. */
export interface Counter {
  readonly add: (labels?: Readonly<Record<string, string>>, amount?: number) => void;
}

/** The metrics of one process. */
export interface Metrics {
  readonly counter: (name: string, help: string, labelNames?: readonly string[]) => Counter;
  /**
   * Creates a histogram with three significant digits; values are rounded up to a multiple of
   * 0.001.
   */
  readonly histogram: (name: string, help: string) => Histogram;
  /** Registers a gauge whose value `sample` returns at each collection. */
  readonly gauge: (name: string, help: string, sample: () => number) => void;
  /**
   * Registers a counter whose total is maintained elsewhere; `sample` returns it at each
   * collection.
   */
  readonly sampledCounter: (name: string, help: string, sample: () => number) => void;
  /**
   * Registers a counter with one label, like `sampledCounter`; `sample` returns the totals by label
   * value.
   */
  readonly sampledCounters: (
    name: string,
    help: string,
    labelName: string,
    sample: () => Readonly<Record<string, number>>,
  ) => void;
  /** Renders every metric in the Prometheus text format. */
  readonly render: () => Promise<string>;
}

const quantileFractions = [0.5, 0.95, 0.99, 0.999] as const;
const unitsPerValue = 1_000;

/** Creates an empty metrics registry. */
export const createMetrics = (): Metrics => {
  const registry = new prometheus.Registry();

  const addGauge = (name: string, help: string, sample: () => number) =>
    registry.registerMetric(
      new prometheus.Gauge({
        name,
        help,
        registers: [],
        collect() {
          this.set(sample());
        },
      }),
    );

  const addSampledCounter: Metrics['sampledCounter'] = (name, help, sample) =>
    registry.registerMetric(
      new prometheus.Counter({
        name,
        help,
        registers: [],
        collect() {
          this.reset();
          this.inc(sample());
        },
      }),
    );

  const addSampledCounters: Metrics['sampledCounters'] = (name, help, labelName, sample) =>
    registry.registerMetric(
      new prometheus.Counter({
        name,
        help,
        registers: [],
        labelNames: [labelName],
        collect() {
          this.reset();
          Object.entries(sample()).forEach(([label, count]) =>
            this.inc({ [labelName]: label }, count),
          );
        },
      }),
    );

  const createHistogram = (name: string, help: string): Histogram => {
    const histogram = hdr.build({ useWebAssembly: false, numberOfSignificantValueDigits: 3 });
    let sum = 0;
    const quantile = (fraction: number) =>
      histogram.getValueAtPercentile(fraction * 100) / unitsPerValue;
    registry.registerMetric(
      new prometheus.Gauge({
        name,
        help,
        registers: [],
        labelNames: ['quantile'],
        collect() {
          quantileFractions.forEach((fraction) =>
            this.set({ quantile: String(fraction) }, quantile(fraction)),
          );
        },
      }),
    );
    addGauge(`${name}_count`, `${help} (count)`, () => histogram.totalCount);
    addGauge(`${name}_sum`, `${help} (sum)`, () => sum);
    return {
      record: (value) => {
        sum += value;
        histogram.recordValue(Math.max(1, Math.ceil(value * unitsPerValue)));
      },
      quantile,
      count: () => histogram.totalCount,
    };
  };

  return {
    counter: (name, help, labelNames = []) => {
      const counter = new prometheus.Counter({
        name,
        help,
        labelNames: [...labelNames],
        registers: [registry],
      });
      return { add: (labels = {}, amount = 1) => counter.inc({ ...labels }, amount) };
    },
    histogram: createHistogram,
    gauge: addGauge,
    sampledCounter: addSampledCounter,
    sampledCounters: addSampledCounters,
    render: () => registry.metrics(),
  };
};
