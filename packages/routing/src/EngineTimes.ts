/** The times of an engine that runs one model; all of them include the factor of the model. */
export interface EngineTimes {
  /** Number of requests that a target runs concurrently. */
  readonly slots: number;
  readonly stepMs: number;
  /** Added to a step for each request that generates tokens. */
  readonly stepMsPerRequest: number;
  readonly stepMsPerThousandContextTokens: number;
  /** Steps of a pass while requests generate tokens, and therefore tokens per event. */
  readonly stepsPerEvent: number;
  readonly msPerPromptToken: number;
  readonly promptMsPerMillionPairs: number;
  /** Maximum number of prompt tokens that a pass reads. */
  readonly promptTokensPerPass: number;
  readonly memoryTokens: number;
}
