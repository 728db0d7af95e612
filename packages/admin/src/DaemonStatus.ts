import type * as groups from '@comfreydrum/groups';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';

/** The status of one daemon. */
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
  /** Counters of the communication with other daemons since this daemon started. */
  readonly peerStatistics: peers.PeerStatistics;
  readonly platform: objectStore.PlatformStatistics;
  /** How long this daemon has considered the platform unavailable; null while it is available. */
  readonly platformOutageMs: number | null;
  readonly memoryBytes: number;
  readonly uptimeMs: number;
}

/** The status of every daemon that responded, and the error of each daemon that did not. */
export interface FleetStatus {
  readonly daemons: readonly DaemonStatus[];
  readonly unreachable: readonly { readonly instanceId: string; readonly message: string }[];
}
