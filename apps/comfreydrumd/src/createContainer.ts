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
import { createAdminComponent } from './createAdminComponent';
import { createGatewayComponent } from './createGatewayComponent';
import { createReadinessCheck } from './createReadinessCheck';
import { tokens } from './tokens';

const maxSeed = 0x7fff_ffff;

const registerCoreComponents = (
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
  const httpClient = objectStore.createHttpPlatformClient({
    url: daemonSettings.platform.url,
    callTimeoutMs: daemonSettings.platform.callTimeoutMs,
    localAddress: daemonSettings.outbound.localAddress,
  });
  return objectStore.createBudgetedPlatformClient(httpClient, {
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

/** Returns the dependencies shared by the components that call the platform and the peers. */
const resolveSharedDependencies = (container: tsyringe.DependencyContainer) => {
  const { instanceId, region, failureDomain, outbound } = container.resolve(tokens.settings);
  const { membership, messageBus, calls } = container.resolve(tokens.peers);
  return {
    instanceId,
    region,
    failureDomain,
    localAddress: outbound.localAddress,
    membership,
    messageBus,
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
  const daemonLedger = ledger.createLedger({
    ...resolveSharedDependencies(container),
    settings: daemonSettings.ledger,
    resolveUnknown: gateway.createUnknownResolver({
      configuration: container.resolve(tokens.configuration),
      services: container.resolve(tokens.groups).services,
      localAddress: daemonSettings.outbound.localAddress,
    }),
  });
  ledger.addLedgerMetrics(container.resolve(tokens.metrics), daemonLedger.statistics);
  return daemonLedger;
};

/**
 * Creates the dependency injection container of a daemon. Components are created when first resolved,
 * except those whose creation is asynchronous (peers, configuration and hasher).
 */
export const createContainer = async (
  daemonSettings: settings.Settings,
): Promise<tsyringe.DependencyContainer> => {
  const container = tsyringe.container.createChildContainer();
  const registerComponent = <Component>(
    token: tsyringe.InjectionToken<Component>,
    create: (resolver: tsyringe.DependencyContainer) => Component,
  ) =>
    container.register(token, {
      useFactory: tsyringe.instanceCachingFactory(() => create(container)),
    });

  registerCoreComponents(container, daemonSettings);
  registerComponent(tokens.platform, createPlatform);
  container.register(tokens.peers, { useValue: await createPeers(container) });
  container.register(tokens.configuration, {
    useValue: await configuration.createConfigurationManager({
      ...resolveSharedDependencies(container),
      peers: container.resolve(tokens.peers),
      freshnessWindowMs: daemonSettings.freshness.windowMs,
    }),
  });
  registerComponent(tokens.groups, (resolver) =>
    groups.createGroups({
      ...resolveSharedDependencies(resolver),
      configuration: resolver.resolve(tokens.configuration),
      drainTimeoutMs: daemonSettings.shutdown.drainTimeoutMs,
    }),
  );
  registerComponent(tokens.ledger, createLedger);
  container.register(tokens.hasher, { useValue: await routing.createPrefixHasher() });
  registerComponent(tokens.readiness, createReadinessCheck);
  registerComponent(tokens.gateway, createGatewayComponent);
  registerComponent(tokens.admin, createAdminComponent);
  return container;
};
