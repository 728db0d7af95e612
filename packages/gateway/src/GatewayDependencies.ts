import type * as clock from '@comfreydrum/clock';
import type * as configuration from '@comfreydrum/configuration';
import type * as groups from '@comfreydrum/groups';
import type * as ledger from '@comfreydrum/ledger';
import type * as routing from '@comfreydrum/routing';
import type * as telemetry from '@comfreydrum/telemetry';
import type { FleetLink } from './FleetLink';

/** Limits on the connections and requests of callers. */
export interface GatewayLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  /** Requests that a caller may send ahead on a connection without having its answers. */
  readonly maxRequestsPerConnection: number;
  readonly headerTimeoutMs: number;
  readonly bodyTimeoutMs: number;
}

/** The dependencies of the gateway on the rest of the daemon. */
export interface GatewayDependencies {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly listen: { readonly host: string; readonly port: number };
  readonly tls?: { readonly certificate: Buffer; readonly key: Buffer } | undefined;
  readonly limits: GatewayLimits;
  readonly localAddress?: string | undefined;
  /** How long a stopping daemon still accepts callers after its readiness check fails. */
  readonly noticeMs: number;
  readonly drainTimeoutMs: number;
  readonly clock: clock.Clock;
  readonly log: telemetry.Log;
  readonly metrics: telemetry.Metrics;
  readonly timeline: telemetry.Timeline;
  readonly configuration: configuration.ConfigurationStore;
  readonly groups: groups.GroupDirectory;
  readonly services: groups.ServiceDirectory;
  readonly ledger: ledger.Ledger;
  readonly link: FleetLink;
  readonly hasher: routing.PrefixHasher;
  readonly randomSeed: number;
  /** Reports whether this instance may accept callers, with the reason. */
  readonly readiness: () => { readonly ready: boolean; readonly reason: string };
}
