/** One request that an engine ran, against which tests compare what callers received. */
export interface ServedRequest {
  readonly requestId: string;
  /** The group and generation that the engine had loaded. */
  readonly groupId: string;
  readonly generation: number;
  /** The version of the model that the engine had loaded. */
  readonly modelVersion: string;
  /** The group and generation in the request's headers, empty when it had none. */
  readonly askedGroupId: string;
  readonly askedGeneration: string;
  readonly receivedAtMs: number;
  readonly startedAtMs: number;
  readonly promptDigest: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly resumedFromToken: number;
  readonly producedTokens: number;
  readonly outcome: 'running' | 'finished' | 'cancelled';
}
