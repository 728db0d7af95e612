/** A change in the availability of an instance during a trace. */
export interface TraceEvent {
  readonly atMs: number;
  readonly instanceId: string;
  /** `up` is a restart with empty memory; `resumed` continues after a pause, with memory intact. */
  readonly kind: 'down' | 'up' | 'resumed';
}

/** An instance in the fleet of a trace. */
export interface TraceInstance {
  readonly instanceId: string;
  readonly targetKind: string;
  readonly failureDomain: string;
  readonly fabricDomain: string;
  readonly acceleratorCount: number;
}

/** A recorded or generated sequence of failures. */
export interface Trace {
  readonly name: string;
  readonly durationMs: number;
  readonly instances: readonly TraceInstance[];
  readonly events: readonly TraceEvent[];
}
