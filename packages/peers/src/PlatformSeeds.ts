/** A registry of daemon addresses, used to join a fleet when no configured seed responds. */
export interface PlatformSeeds {
  /** Registers the address of this daemon. */
  readonly announce: (
    instanceId: string,
    address: string,
    incarnation: string,
  ) => Promise<'announced' | 'failed'>;
  /** Removes the entry of one incarnation of an instance; the entry of another one is kept. */
  readonly withdraw: (instanceId: string, incarnation: string) => Promise<void>;
  /** Returns the registered addresses, some of which may no longer be in use. */
  readonly addresses: () => Promise<readonly string[]>;
}
