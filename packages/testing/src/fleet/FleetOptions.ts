import type { EngineOptions } from '../engine/EngineOptions';

/** The failure domain and region in which an entry instance or a target runs. */
export interface FleetDomain {
  readonly name: string;
  readonly region: string;
}

/** Options of an engine's process in addition to those of the engine. */
export interface EngineProcessOptions {
  /** Prints a line for each request that starts to run, so that the record survives a kill. */
  readonly printServed?: boolean;
  readonly leaveMs?: number;
  readonly minLeaveMs?: number;
}

/** The engines of one target kind. */
export interface FleetEngines {
  readonly count: number;
  readonly targetKind?: string;
  readonly options?: EngineOptions & EngineProcessOptions;
  /** Returns the fabric domain of engine `index`; by default all engines share one. */
  readonly fabricDomainOf?: (index: number) => string;
  /** Returns the index of engine `index`'s failure domain in `domains`; 0 by default. */
  readonly failureDomainIndexOf?: (index: number) => number;
}

/** The instances of one service without a model. */
export interface FleetServices {
  readonly count: number;
  readonly targetKind?: string;
  /** Whether the instances run a request with a repeated Idempotency-Key only once. */
  readonly honourKey?: boolean;
  readonly latencyMs?: number;
  /** Text that makes an instance crash when a filing or the id of a case contains it. */
  readonly crashOn?: string;
  readonly minLeaveMs?: number;
}

/** The processes of a fleet and their settings. */
export interface FleetOptions {
  readonly seed: number;
  readonly daemonCount: number;
  readonly domains?: readonly FleetDomain[];
  readonly engines?: FleetEngines;
  readonly services?: FleetServices;
  /** Overrides merged into the settings of every daemon, section by section. */
  readonly daemonSettings?: Readonly<Record<string, unknown>>;
  /** The configuration applied at the start, or `none` to apply none. */
  readonly configuration?: unknown;
}

/** The failure domains of a fleet whose options list none. */
export const defaultDomains: readonly FleetDomain[] = [
  { name: 'pamplona-a', region: 'navarra' },
  { name: 'pamplona-b', region: 'navarra' },
  { name: 'baztan', region: 'navarra' },
];
