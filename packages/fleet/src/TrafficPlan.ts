/** A model that the targets of a service can run in groups. */
export interface ServedModel {
  readonly name: string;
  /** Number of targets in a group. */
  readonly groupSize: number;
  /** Factor by which all engine times are multiplied while the engine runs this model. */
  readonly paceFactor: number;
  /** Fraction of the work of the service's targets that this model takes, before any demand is known. */
  readonly demandShare: number;
  /** Time that a target needs to load the weights from the weight store. */
  readonly loadMs: number;
  /** Time that a target needs to join a group when the weights are staged on its host. */
  readonly stagedJoinMs: number;
}

/** What determines the work of a request at an engine, beyond the times per step. */
export interface EngineCosts {
  /** Tokens that the memory of a group holds. */
  readonly memoryTokensPerGroup: number;
  /** Added to a step for each 1,000 tokens of context of each request that generates tokens. */
  readonly stepMsPerThousandContextTokens: number;
  /** Time to read a million pairs of a prompt token and an earlier token. */
  readonly promptMsPerMillionPairs: number;
  /** Maximum number of prompt tokens that a step reads. */
  readonly promptTokensPerStep: number;
  /** Mean token counts of all requests; undefined if the configuration doesn't name them. */
  readonly usualPromptTokens: number | undefined;
  readonly usualOutputTokens: number | undefined;
}

/** Performance characteristics of the engine of a model service. */
export interface EngineProfile {
  /** Number of requests that a group runs concurrently. */
  readonly slotsPerGroup: number;
  readonly models: readonly ServedModel[];
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  /** Number of engine steps between two events of a stream. */
  readonly stepsPerEvent: number;
  readonly promptTokensPerSecond: number;
  /** Number of concurrent loads that the weight store serves at full speed. */
  readonly concurrentLoads: number;
  readonly loadStartsPerSecond: number;
  readonly costs?: EngineCosts | undefined;
}

/** What a target bears after it has started, until its caches are warm. */
export interface ColdStart {
  readonly durationMs: number;
  /** Requests that a cold target bears from all daemons together; it crashes well above this rate. */
  readonly requestsPerSecond: number;
}

/** A service that is provided by targets. */
export interface Service {
  readonly name: string;
  /** Number of connections that a target accepts from all daemons together. */
  readonly maxConnections: number;
  /** Defined only for a service whose targets serve models in groups. */
  readonly engine: EngineProfile | undefined;
  readonly coldStart?: ColdStart | undefined;
}

/** The weight with which requests of a route are sent to one service. */
export interface ServiceShare {
  readonly serviceName: string;
  readonly weight: number;
}

/** Whether a request may run more than once, and whether its response is streamed. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A mapping of requests, by host and path prefix, to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether an interrupted stream may be resumed on another target. */
  readonly isResumable: boolean;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  /** Maximum time until the response is complete. */
  readonly timeoutMs: number;
  /** Latency objective for a response, or for the first event of a stream. */
  readonly latencyTargetMs: number;
  /** Objective for the time between two events of a stream. */
  readonly gapTargetMs: number | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Maximum number of targets that may run one request. */
  readonly maxTargets: number;
  readonly shares: readonly ServiceShare[];
}

/** A customer, identified by the keys that its callers send. */
export interface Customer {
  readonly name: string;
  /** 0 is the highest priority; goes before the priority of the route. */
  readonly priority?: number | undefined;
}

/** Limits on the connections and requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/**
 * One revision of the routes, services, customers and limits that determine how requests are
 * routed.
 */
export interface TrafficPlan {
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** Undefined if no keys are required. */
  readonly customersByKey: ReadonlyMap<string, Customer> | undefined;
  readonly limits: CallerLimits;
}
