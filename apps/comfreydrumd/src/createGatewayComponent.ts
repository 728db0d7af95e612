import * as gateway from '@comfreydrum/gateway';
import * as peers from '@comfreydrum/peers';
import type * as tsyringe from 'tsyringe';
import { createFleetLink } from './createFleetLink';
import { readTls } from './readTls';
import { tokens } from './tokens';

const maxSeed = 0x7fff_ffff;

/** Creates the gateway of a daemon from its settings and components. */
export const createGatewayComponent = (
  container: tsyringe.DependencyContainer,
): gateway.Gateway => {
  const settings = container.resolve(tokens.settings);
  const groups = container.resolve(tokens.groups);
  return gateway.createGateway({
    instanceId: settings.instanceId,
    failureDomain: settings.failureDomain,
    listen: peers.parseAddress(settings.gateway.listen),
    tls: readTls(settings.gateway.tls),
    limits: settings.gateway,
    localAddress: settings.outbound.localAddress,
    noticeMs: settings.shutdown.noticeMs,
    drainTimeoutMs: settings.shutdown.drainTimeoutMs,
    clock: container.resolve(tokens.clock),
    log: container.resolve(tokens.log),
    metrics: container.resolve(tokens.metrics),
    timeline: container.resolve(tokens.timeline),
    configuration: container.resolve(tokens.configuration),
    groups: groups.directory,
    services: groups.services,
    ledger: container.resolve(tokens.ledger),
    link: createFleetLink(container.resolve(tokens.peers)),
    hasher: container.resolve(tokens.hasher),
    randomSeed: Math.floor(container.resolve(tokens.random)() * maxSeed),
    readiness: container.resolve(tokens.readiness),
  });
};
