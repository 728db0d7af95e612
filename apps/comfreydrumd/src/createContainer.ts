import 'reflect-metadata';
import { randomInt } from 'node:crypto';
import * as clock from '@comfreydrum/clock';
import * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import * as gateway from '@comfreydrum/gateway';
import * as groups from '@comfreydrum/groups';
import * as ledger from '@comfreydrum/ledger';
import * as peers from '@comfreydrum/peers';
import * as objectStore from '@comfreydrum/object-store';
import * as routing from '@comfreydrum/routing';
import * as settings from '@comfreydrum/settings';
import * as telemetry from '@comfreydrum/telemetry';
import * as tsyringe from 'tsyringe';
import { createAdminPart } from './createAdminPart';
import { createGatewayPart } from './createGatewayPart';
import { createReadiness } from './createReadiness';
import { tokens } from './tokens';

const maxSeed = 0x7fff_ffff;

const registerBasics = (
  container: tsyringe.DependencyContainer,
  daemonSettings: settings.Settings,
) => {
  const systemClock = clock.createSystemClock();
  const hybridClock = clock.createHybridClock(systemClock);
  const { instanceId, log, randomSeed } = daemonSettings;
  container.register(tokens.settings, { useValue: daemonSettings });
  container.register(tokens.clock, { useValue: systemClock });
  container.register(tokens.hybridClock, { useValue: hybridClock });
  container.register(tokens.random, {
    useValue: routing.createRandom(randomSeed ?? randomInt(maxSeed)).fraction,
  });
  container.register(tokens.log, {
    useValue: telemetry.createLog({ level: log.level, instanceId }),
  });
  container.register(tokens.metrics, { useValue: telemetry.createMetrics() });
  container.register(tokens.timeline, {
    useValue: telemetry.createTimeline(instanceId, hybridClock),
  });
};

const createPlatform = (container: tsyringe.DependencyContainer) => {
  const daemonSettings = container.resolve(tokens.settings);
  const inner = objectStore.createHttpPlatformClient({
    url: daemonSettings.platform.url,
    callTimeoutMs: daemonSettings.platform.callTimeoutMs,
    localAddress: daemonSettings.outbound.localAddress,
  });
  return objectStore.createBudgetedPlatformClient(inner, {
    clock: container.resolve(tokens.clock),
    random: container.resolve(tokens.random),
    readsPerSecond: daemonSettings.platform.readsPerSecond,
    writesPerSecond: daemonSettings.platform.writesPerSecond,
    memberCount: () => container.resolve(tokens.peers).membership.members().length,
  });
};

const createPeers = (container: tsyringe.DependencyContainer) => {
  const daemonSettings = container.resolve(tokens.settings);
  const { instanceId, region, failureDomain } = daemonSettings;
  return peers.createPeers({
    settings: {
      ...daemonSettings.peers,
      tokens: errors.unwrap(settings.readTokens(daemonSettings.peers.tokenFiles)),
      localAddress: daemonSettings.outbound.localAddress,
    },
    instanceId,
    region,
    failureDomain,
    fleet: daemonSettings.fleet,
    clock: container.resolve(tokens.clock),
    hybridClock: container.resolve(tokens.hybridClock),
    log: container.resolve(tokens.log),
    timeline: container.resolve(tokens.timeline),
    random: container.resolve(tokens.random),
    platformSeeds: peers.createPlatformSeeds(container.resolve(tokens.platform)),
  });
};

/** Gives what every part that talks to the platform and to peers needs. */
const sharedParts = (container: tsyringe.DependencyContainer) => {
  const { instanceId, region, failureDomain, outbound } = container.resolve(tokens.settings);
  const { membership, news, calls } = container.resolve(tokens.peers);
  return {
    instanceId,
    region,
    failureDomain,
    localAddress: outbound.localAddress,
    membership,
    news,
    calls,
    platform: container.resolve(tokens.platform),
    clock: container.resolve(tokens.clock),
    log: container.resolve(tokens.log),
    timeline: container.resolve(tokens.timeline),
    random: container.resolve(tokens.random),
  };
};

const createLedger = (container: tsyringe.DependencyContainer) => {
  const daemonSettings = container.resolve(tokens.settings);
  const created = ledger.createLedger({
    ...sharedParts(container),
    settings: daemonSettings.ledger,
    resolveUnknown: gateway.createUnknownResolver({
      configuration: container.resolve(tokens.configuration),
      services: container.resolve(tokens.groups).services,
      localAddress: daemonSettings.outbound.localAddress,
    }),
  });
  ledger.addLedgerMetrics(container.resolve(tokens.metrics), created.statistics);
  return created;
};

/** Creates the container of a daemon; each part is made when it is first resolved. */
export const createContainer = async (
  daemonSettings: settings.Settings,
): Promise<tsyringe.DependencyContainer> => {
  const container = tsyringe.container.createChildContainer();
  const registerPart = <Part>(
    token: tsyringe.InjectionToken<Part>,
    create: (owner: tsyringe.DependencyContainer) => Part,
  ) =>
    container.register(token, {
      useFactory: tsyringe.instanceCachingFactory(() => create(container)),
    });

  registerBasics(container, daemonSettings);
  registerPart(tokens.platform, createPlatform);
  container.register(tokens.peers, { useValue: await createPeers(container) });
  container.register(tokens.configuration, {
    useValue: await configuration.createConfigurationStore({
      ...sharedParts(container),
      peers: container.resolve(tokens.peers),
      freshnessWindowMs: daemonSettings.freshness.windowMs,
    }),
  });
  registerPart(tokens.groups, (owner) =>
    groups.createGroups({
      ...sharedParts(owner),
      configuration: owner.resolve(tokens.configuration),
      drainTimeoutMs: daemonSettings.shutdown.drainTimeoutMs,
    }),
  );
  registerPart(tokens.ledger, createLedger);
  container.register(tokens.hasher, { useValue: await routing.createPrefixHasher() });
  registerPart(tokens.readiness, createReadiness);
  registerPart(tokens.gateway, createGatewayPart);
  registerPart(tokens.admin, createAdminPart);
  return container;
};
