import type { ServedRequest } from './ServedRequest';

/** Options of an engine stand-in; the model times are per step of its batch. */
export interface EngineOptions {
  readonly listen?: string | undefined;
  readonly instanceId?: string | undefined;
  /** Duration of a step with one running request. */
  readonly tokenMs?: number | undefined;
  /** Time that each additional running request adds to a step. */
  readonly tokenMsPerRunning?: number | undefined;
  /** Time that each prompt token adds to the step that admits it, unless its prefix is cached. */
  readonly prefillMsPerToken?: number | undefined;
  readonly maxRunning?: number | undefined;
  readonly loadMs?: number | undefined;
  readonly cacheTokens?: number | undefined;
  readonly loadLagMs?: number | undefined;
  readonly cacheEventDelayMs?: number | undefined;
  /** Fraction of cache events that are never published. */
  readonly cacheEventLossFraction?: number | undefined;
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
