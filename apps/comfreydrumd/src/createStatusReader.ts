import process from 'node:process';
import type * as admin from '@comfreydrum/admin';
import type * as tsyringe from 'tsyringe';
import { tokens } from './tokens';

/** Creates a function that returns the current status of this daemon. */
export const createStatusReader = (
  container: tsyringe.DependencyContainer,
): (() => admin.DaemonStatus) => {
  const { instanceId, region, failureDomain } = container.resolve(tokens.settings);
  const clock = container.resolve(tokens.clock);
  const configuration = container.resolve(tokens.configuration);
  const gateway = container.resolve(tokens.gateway);
  const groups = container.resolve(tokens.groups);
  const peers = container.resolve(tokens.peers);
  const platform = container.resolve(tokens.platform);
  const startedAtMs = clock.monotonicMs();

  const readOutageMs = () => {
    const outage = platform.outage();
    return outage.kind === 'none' ? null : clock.monotonicMs() - outage.sinceMs;
  };

  return () => {
    const groupsStatus = groups.status();
    return {
      instanceId,
      region,
      failureDomain,
      ...gateway.readiness(),
      openRequests: gateway.statistics().openRequests,
      revisions: configuration.revisions(),
      groups: groupsStatus.groups,
      stranded: groupsStatus.stranded,
      peers: peers.membership.members().map((member) => ({
        instanceId: member.instanceId,
        state: member.state,
      })),
      peerStatistics: peers.statistics(),
      platform: platform.statistics(),
      platformOutageMs: readOutageMs(),
      memoryBytes: process.memoryUsage.rss(),
      uptimeMs: clock.monotonicMs() - startedAtMs,
    };
  };
};
