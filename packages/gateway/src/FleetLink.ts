/** An update published by another daemon. */
export interface FleetUpdate {
  readonly key: string;
  readonly origin: string;
  readonly value: unknown;
  readonly remainingMs: number;
}

/** The communication of the gateway with the other daemons. */
export interface FleetLink {
  readonly selfId: string;
  /** Returns the ids of the live daemons, including this one, in the same order on every daemon. */
  readonly liveIds: () => readonly string[];
  /** Calls a method of another daemon; resolves to undefined without a response in time. */
  readonly call: (
    instanceId: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ) => Promise<unknown>;
  readonly handle: (method: string, handler: (params: unknown) => unknown) => void;
  readonly publish: (
    topic: 'quarantine' | 'demand',
    key: string,
    value: unknown,
    lifetimeMs: number,
  ) => void;
  readonly onUpdate: (
    topic: 'quarantine' | 'demand',
    listener: (update: FleetUpdate) => void,
  ) => () => void;
}
