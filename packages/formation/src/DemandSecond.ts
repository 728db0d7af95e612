/** Work that arrived for one model within a second. */
export interface ModelDemand {
  /** Predicted time of targets, summed over the members of groups. */
  readonly targetMs: number;
  readonly requestCount: number;
}

/** Work by model, in one second. */
export type DemandSecond = ReadonlyMap<string, ModelDemand>;

/** Sums the demand for a model over some seconds. */
export const sumDemand = (seconds: readonly DemandSecond[], modelName: string): ModelDemand =>
  seconds.reduce(
    (sum, byModel) => ({
      targetMs: sum.targetMs + (byModel.get(modelName)?.targetMs ?? 0),
      requestCount: sum.requestCount + (byModel.get(modelName)?.requestCount ?? 0),
    }),
    { targetMs: 0, requestCount: 0 },
  );
