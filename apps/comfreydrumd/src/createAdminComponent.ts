import * as admin from '@comfreydrum/admin';
import type * as lifecycle from '@comfreydrum/lifecycle';
import * as peers from '@comfreydrum/peers';
import type * as tsyringe from 'tsyringe';
import { createStatusReader } from './createStatusReader';
import { readTls } from './readTls';
import { tokens } from './tokens';

/** Creates the administration interface of a daemon from its settings and components. */
export const createAdminComponent = (
  container: tsyringe.DependencyContainer,
): lifecycle.Component => {
  const settings = container.resolve(tokens.settings);
  const gateway = container.resolve(tokens.gateway);
  const { membership, calls } = container.resolve(tokens.peers);
  return admin.createAdmin({
    listen: peers.parseAddress(settings.admin.listen),
    tls: readTls(settings.admin.tls),
    tokens: settings.admin.tokens,
    log: container.resolve(tokens.log),
    metrics: container.resolve(tokens.metrics),
    timeline: container.resolve(tokens.timeline),
    configuration: container.resolve(tokens.configuration),
    ledger: container.resolve(tokens.ledger).admin,
    membership,
    calls,
    status: createStatusReader(container),
    readiness: gateway.readiness,
    drain: gateway.drain,
  });
};
