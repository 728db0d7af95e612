import 'reflect-metadata';
import * as clock from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import * as formation from '@comfreydrum/formation';
import * as objectStore from '@comfreydrum/object-store';
import * as operatorsPlatform from '@comfreydrum/operators-platform';
import * as peers from '@comfreydrum/peers';
import * as relay from '@comfreydrum/relay';
import type * as settings from '@comfreydrum/settings';
import * as telemetry from '@comfreydrum/telemetry';
import * as tsyringe from 'tsyringe';
import { relayTokens } from './relayTokens';

/** A check of a key and the start of its request lie less than this apart. */
const keyMarginMs = 250;
/** A store that is back must be followed again before bounds count from its return. */
const maxStoreRetryMs = 700;
/** Changes of targets come in bursts, and each call costs. */
const targetListSpacingMs = 200;
/** The controller waits for the effect of its orders before its next step. */
const mendingListSpacingMs = 40;
/** The balancer sees a failed readiness twice, a second apart, and open connections close meanwhile. */
const noticeMs = 2_600;
/** Kept free at the end of the grace period. */
const shutdownMarginMs = 700;
/** The holder's proof reaches the others by its age later, so it is renewed more often. */
const holderPlanWaitMs = 300;
const planWaitMs = 1_500;
const holderListWaitMs = 500;
const listWaitMs = 2_000;
/** As for the plan: a leaving target gets nothing new after 2 s, also where only the holder is cut off. */
const ownListAgeMs = 1_700;
/**
 * Told proof is younger than this while the holder reaches the store: twice its wait, and a check-in. A plan must
 * be in force within 2 s, also where only the holder is cut off.
 */
const ownPlanAgeMs = 1_700;
/** How long a daemon that starts waits for the holder before it asks the store itself. */
const startWaitMs = 1_500;
const msPerSecond = 1_000;
const leaseKey = { kind: 'comfreydrum-leases', name: 'formation' } as const;

const createStore = (container: tsyringe.DependencyContainer) => {
  const { store } = container.resolve(relayTokens.settings);
  return objectStore.createBudgetedPlatformClient(container.resolve(relayTokens.platform).store, {
    clock: container.resolve(relayTokens.clock),
    random: Math.random,
    readsPerSecond: store.readsPerSecond,
    writesPerSecond: store.writesPerSecond,
    memberCount: () => container.resolve(relayTokens.lease).daemonCount(),
    maxRetryMs: maxStoreRetryMs,
  });
};

const createPlatform = (container: tsyringe.DependencyContainer) => {
  const { store, ip, targets } = container.resolve(relayTokens.settings);
  return operatorsPlatform.createOperatorsPlatform({
    storeAddress: store.address,
    storeCallTimeoutMs: store.callTimeoutMs,
    localAddress: ip,
    sendsFence: targets.checkFencing,
  });
};

/** What every part that follows the store needs. */
const sharedParts = (container: tsyringe.DependencyContainer) => ({
  client: container.resolve(relayTokens.store),
  clock: container.resolve(relayTokens.clock),
  log: container.resolve(relayTokens.log),
  random: Math.random,
});

const createRelay = (container: tsyringe.DependencyContainer) => {
  const { ip, failureDomain, callers, keys, retries, shutdown } = container.resolve(
    relayTokens.settings,
  );
  const { host, port } = peers.parseAddress(callers.listen);
  const { callerWire, targetWire } = container.resolve(relayTokens.platform);
  return relay.createRelay({
    host,
    port,
    failureDomain,
    localAddress: ip,
    noticeMs,
    drainTimeoutMs: shutdown.graceSeconds * msPerSecond - noticeMs - shutdownMarginMs,
    clock: container.resolve(relayTokens.clock),
    log: container.resolve(relayTokens.log),
    metrics: container.resolve(relayTokens.metrics),
    plan: container.resolve(relayTokens.plan),
    targets: container.resolve(relayTokens.targets),
    callerWire,
    targetWire,
    random: Math.random,
    daemonCount: () => container.resolve(relayTokens.lease).daemonCount(),
    otherLoads: () => container.resolve(relayTokens.lease).otherLoads(),
    keyValidityMs: keys.revocationMs - keyMarginMs,
    retryFraction: retries.fraction,
    fleetRetryReserve: retries.reserve,
    failureReporter: {
      suspect: (targetId) =>
        container.resolve(relayTokens.formation).suspect({ targetId, isSilent: false }),
      confirmLoss: (groupKey) => container.resolve(relayTokens.formation).confirmLoss(groupKey),
    },
  });
};

/** Creates the container of a relay daemon; each part is made when it is first resolved. */
export const createRelayContainer = (
  daemonSettings: settings.RelaySettings,
  log: telemetry.Log,
): tsyringe.DependencyContainer => {
  const container = tsyringe.container.createChildContainer();
  const systemClock = clock.createSystemClock();
  const { instanceId, ip, fleet: fleetName } = daemonSettings;
  /** Tells runs of one instance apart, also when it comes back at the same address. */
  const runId = `${instanceId}/${systemClock.wallMs().toString(36)}`;

  const register = <Part>(
    token: tsyringe.InjectionToken<Part>,
    create: (owner: tsyringe.DependencyContainer) => Part,
  ) =>
    container.register(token, {
      useFactory: tsyringe.instanceCachingFactory(() => create(container)),
    });

  container.register(relayTokens.settings, { useValue: daemonSettings });
  container.register(relayTokens.clock, { useValue: systemClock });
  container.register(relayTokens.log, { useValue: log });
  container.register(relayTokens.metrics, { useValue: telemetry.createMetrics() });
  register(relayTokens.platform, createPlatform);
  register(relayTokens.store, createStore);
  register(relayTokens.calls, () =>
    peers.createLoneCalls({
      selfId: instanceId,
      fleet: fleetName,
      listen: daemonSettings.peers.listen,
      localAddress: ip,
      hybridClock: clock.createHybridClock(systemClock),
    }),
  );
  const startedAtMs = systemClock.monotonicMs();
  const news = fleet.createFleetStateExchange({
    clock: systemClock,
    plan: () => container.resolve(relayTokens.plan),
    targets: () => container.resolve(relayTokens.targets),
  });
  const isHolder = () => container.resolve(relayTokens.lease).state().kind === 'holder';
  /** A daemon that starts may be told everything by the holder before it asks the store. */
  const hasWaited = () => systemClock.monotonicMs() - startedAtMs >= startWaitMs;
  register(relayTokens.plan, (owner) =>
    fleet.createPlanTracker({
      ...sharedParts(owner),
      shouldFollow: () =>
        isHolder() || (hasWaited() && owner.resolve(relayTokens.plan).ageMs() > ownPlanAgeMs),
      watchWaitMs: () => (isHolder() ? holderPlanWaitMs : planWaitMs),
      source: owner.resolve(relayTokens.platform).planSource,
    }),
  );
  register(relayTokens.targets, (owner) =>
    fleet.createTargetList({
      ...sharedParts(owner),
      source: owner.resolve(relayTokens.platform).targetSource,
      spacingMs: () =>
        isHolder() && owner.resolve(relayTokens.formation).hasRecentOrders()
          ? mendingListSpacingMs
          : targetListSpacingMs,
      listId: runId,
      shouldFollow: () => {
        const isTold = news.isFresh() && owner.resolve(relayTokens.targets).ageMs() <= ownListAgeMs;
        return isHolder() || (hasWaited() && !isTold);
      },
      watchWaitMs: () => (isHolder() ? holderListWaitMs : listWaitMs),
    }),
  );
  register(relayTokens.lease, (owner) =>
    formation.createLease({
      ...sharedParts(owner),
      calls: owner.resolve(relayTokens.calls),
      key: leaseKey,
      runId,
      address: daemonSettings.peers.listen,
      checkInPayload: news,
      ownLoads: () => owner.resolve(relayTokens.relay).ownLoads(),
    }),
  );
  register(relayTokens.formation, (owner) =>
    formation.createFormation({
      clock: systemClock,
      log,
      metrics: owner.resolve(relayTokens.metrics),
      plan: owner.resolve(relayTokens.plan),
      targets: owner.resolve(relayTokens.targets),
      orders: owner.resolve(relayTokens.platform).orders,
      lease: owner.resolve(relayTokens.lease),
      calls: owner.resolve(relayTokens.calls),
      isBeforeTraffic: () => !owner.resolve(relayTokens.relay).hasReceivedRequests(),
    }),
  );
  register(relayTokens.relay, createRelay);
  return container;
};
