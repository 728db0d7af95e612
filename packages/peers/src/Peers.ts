import type * as clock from '@comfreydrum/clock';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as telemetry from '@comfreydrum/telemetry';
import type { Beacon } from './Beacon';
import type { MembershipWithDead } from './Membership';
import type { MessageBus } from './MessageBus';
import type { PeerCalls } from './PeerCalls';
import type { PeerStatistics } from './PeerStatistics';
import type { PlatformSeeds } from './PlatformSeeds';

/** Settings of the membership, gossip and calls of a daemon. */
export interface PeersSettings {
  readonly listen: string;
  readonly advertise?: string | undefined;
  readonly seeds: readonly string[];
  readonly probeIntervalMs: number;
  readonly probeTimeoutMs: number;
  readonly suspicionMs: number;
  /**
   * Datagrams and calls are signed with the first token and accepted if signed with any of them.
   * Without tokens nothing is signed or verified.
   */
  readonly tokens?: readonly string[] | undefined;
  /** Source IP of outgoing calls. */
  readonly localAddress?: string | undefined;
}

/** Options of `createPeers`. */
export interface PeersOptions {
  readonly settings: PeersSettings;
  readonly instanceId: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Datagrams and calls that name another fleet are dropped. */
  readonly fleet?: string;
  readonly clock: clock.Clock;
  readonly hybridClock: clock.HybridClock;
  readonly log: telemetry.Log;
  readonly timeline: telemetry.Timeline;
  /** Returns uniform numbers in [0, 1). */
  readonly random: () => number;
  readonly platformSeeds?: PlatformSeeds;
}

/** Membership of the fleet, gossip messages, and calls to the other daemons. */
export interface Peers {
  readonly membership: MembershipWithDead;
  readonly messageBus: MessageBus;
  readonly calls: PeerCalls;
  readonly beacon: Beacon;
  readonly component: lifecycle.Component;
  readonly statistics: () => PeerStatistics;
}
