/** A beacon received in the response to a probe. */
export interface ReceivedBeacon {
  readonly value: unknown;
  readonly instanceId: string;
  readonly address: string;
  /** The monotonic time at which the probe was sent; the value was read after it. */
  readonly probeSentAtMs: number;
}

/**
 * A small value piggybacked on every datagram between daemons.
 *
 * Only beacons in responses to this daemon's own probes reach the listeners, so the value was read
 * after `probeSentAtMs`, however long the datagram was buffered.
 */
export interface Beacon {
  /** Sets the function that returns the value; it is called for each datagram. */
  readonly setProvider: (read: () => unknown) => void;
  readonly onBeacon: (listener: (beacon: ReceivedBeacon) => void) => () => void;
}
