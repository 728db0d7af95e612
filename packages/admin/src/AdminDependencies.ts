import type * as configuration from '@comfreydrum/configuration';
import type * as ledger from '@comfreydrum/ledger';
import type * as peers from '@comfreydrum/peers';
import type * as telemetry from '@comfreydrum/telemetry';
import type { DaemonStatus } from './DaemonStatus';

/** The dependencies of the administration interface. */
export interface AdminDependencies {
  readonly listen: { readonly host: string; readonly port: number };
  readonly tls?: { readonly certificate: Buffer; readonly key: Buffer } | undefined;
  readonly tokens: readonly { readonly team: string; readonly tokenSha256: string }[];
  readonly log: telemetry.Log;
  readonly metrics: telemetry.Metrics;
  readonly timeline: telemetry.Timeline;
  readonly configuration: configuration.ConfigurationManager;
  readonly ledger: ledger.LedgerAdmin;
  readonly membership: peers.Membership;
  readonly calls: peers.PeerCalls;
  readonly status: () => DaemonStatus;
  readonly readiness: () => { readonly ready: boolean; readonly reason: string };
  readonly drain: () => void;
}
