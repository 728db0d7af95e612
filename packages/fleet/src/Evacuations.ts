/** Which failure domains are to be sent no requests. */
export interface Evacuations {
  /** Whether the orders have been read or received at least once. */
  readonly isKnown: () => boolean;
  /** Whether the last known state contains an order to empty the failure domain. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** Whether requests may be sent to targets of the failure domain; to none before the orders are known. */
  readonly mayReceive: (failureDomain: string) => boolean;
  /** Returns the monotonic time at which this daemon learned that the latest order was taken back. */
  readonly endedAtMs: (failureDomain: string) => number | undefined;
}
