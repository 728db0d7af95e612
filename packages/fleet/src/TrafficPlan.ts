/** A model that a service's targets can run in groups. */
export interface ServedModel {
  readonly name: string;
  /** How many targets form a group. */
  readonly groupSize: number;
  /** Factor on all times of the engine while it runs this model. */
  readonly paceFactor: number;
  /** Share of the service's work that asks for this model. */
  readonly demandShare: number;
  /** How long a target takes to load the weights from the weight store. */
  readonly loadMs: number;
  /** How long a target takes to join with weights that are staged on its host. */
  readonly stagedJoinMs: number;
}

/** How the engine of a model service behaves. */
export interface EngineProfile {
  /** How many requests a group runs at once. */
  readonly slotsPerGroup: number;
  readonly models: readonly ServedModel[];
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  /** How many steps the engine makes between two events of a stream. */
  readonly stepsPerEvent: number;
  readonly promptTokensPerSecond: number;
  /** How many loads from the weight store run at full speed. */
  readonly concurrentLoads: number;
  readonly loadStartsPerSecond: number;
}

/** A service that targets offer. */
export interface Service {
  readonly name: string;
  /** How many connections a target takes from all daemons together. */
  readonly maxConnections: number;
  /** Given for a service whose targets serve models in groups. */
  readonly engine: EngineProfile | undefined;
}

/** A share of a route's requests that goes to one service. */
export interface ServiceShare {
  readonly serviceName: string;
  readonly weight: number;
}

/** Whether a request may run more than once, and in which form its answer comes. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A route of callers' requests to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a stream may go on at another target where it broke off. */
  readonly isResumable: boolean;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** The longest time that a caller is kept waiting for the whole answer. */
  readonly timeoutMs: number;
  /** Up to here an answer, or the first event of a stream, is on time. */
  readonly latencyTargetMs: number;
  /** Up to here the next event of a stream is on time. */
  readonly gapTargetMs: number | undefined;
  /** 0 goes first. */
  readonly priority: number;
  /** How many targets may run one request. */
  readonly maxTargets: number;
  readonly shares: readonly ServiceShare[];
}

/** A customer whose keys callers present. */
export interface Customer {
  readonly name: string;
}

/** What bounds a caller's connection and request. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One revision of everything that decides where requests may go. */
export interface TrafficPlan {
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** Undefined where callers need no keys. */
  readonly customersByKey: ReadonlyMap<string, Customer> | undefined;
  readonly limits: CallerLimits;
}
