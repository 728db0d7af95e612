import type { ServedRequest } from './ServedRequest';

/** Options of an engine stand-in, which processes its requests in batch steps. */
export interface EngineOptions {
  readonly listen?: string | undefined;
  readonly instanceId?: string | undefined;
  /** Duration of a step with one running request. */
  readonly tokenMs?: number | undefined;
  /** Time that each additional running request adds to a step. */
  readonly tokenMsPerRunning?: number | undefined;
  /** Time that each uncached prompt token of a request adds to the step that admits the request. */
  readonly prefillMsPerToken?: number | undefined;
  readonly maxRunning?: number | undefined;
  /** Time to load a model. */
  readonly loadMs?: number | undefined;
  readonly cacheTokens?: number | undefined;
  /** Age of the load reports that the engine returns. */
  readonly loadLagMs?: number | undefined;
  readonly cacheEventDelayMs?: number | undefined;
  /** Fraction of cache events that are never published. */
  readonly cacheEventLossFraction?: number | undefined;
  /** Whether the engine rejects orders of an older generation and requests for another group or generation. */
  readonly fencing?: 'checked' | 'ignored' | undefined;
  /** Text that makes the engine crash when a prompt contains it. */
  readonly crashOn?: string | undefined;
  /** Model that is loaded at start, without an order. */
  readonly preloadedModel?: string | undefined;
  /** Source IP of the leader's calls to its members. */
  readonly localAddress?: string | undefined;
  readonly randomSeed?: number | undefined;
  /** Called with each request when it starts to run. */
  readonly onServed?: ((served: ServedRequest) => void) | undefined;
  /** Called instead of exiting the process when a prompt contains `crashOn`. */
  readonly onCrash?: (() => void) | undefined;
}
