import type * as groups from '@comfreydrum/groups';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';

/** The state of one daemon. */
export interface DaemonStatus {
  readonly instanceId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly ready: boolean;
  readonly reason: string;
  readonly openRequests: number;
  readonly revisions: Readonly<Record<string, number>>;
  readonly groups: readonly groups.GroupStatus[];
  readonly stranded: readonly groups.StrandedInstance[];
  readonly peers: readonly { readonly instanceId: string; readonly state: string }[];
  /** What this daemon sent to the others and received, since its start. */
  readonly peerStatistics: peers.PeerStatistics;
  readonly platform: objectStore.PlatformStatistics;
  /** For how long this daemon has held the platform for down; null when it does not. */
  readonly platformOutageMs: number | null;
  readonly memoryBytes: number;
  readonly uptimeMs: number;
}

/** The state of every daemon that answered, and those that did not. */
export interface FleetStatus {
  readonly daemons: readonly DaemonStatus[];
  readonly unreachable: readonly { readonly instanceId: string; readonly message: string }[];
}
