import 'reflect-metadata';
import * as clock from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import * as formation from '@comfreydrum/formation';
import * as objectStore from '@comfreydrum/object-store';
import * as operatorsPlatform from '@comfreydrum/operators-platform';
import * as peers from '@comfreydrum/peers';
import * as relay from '@comfreydrum/relay';
import * as routing from '@comfreydrum/routing';
import type * as settings from '@comfreydrum/settings';
import * as telemetry from '@comfreydrum/telemetry';
import * as tsyringe from 'tsyringe';
import { relayTokens } from './relayTokens';

/** Subtracted from the revocation time, since a request starts up to this long after its key was checked. */
const keyCheckMarginMs = 250;
/** Subtracted from the time in which a plan comes into force, as clocks of two hosts differ a little in speed. */
const denialMarginMs = 100;
/**
 * Longest delay between attempts to reach an unavailable store. Time limits count from the return of the
 * store, so watching must resume soon after it.
 */
const maxStoreRetryDelayMs = 700;
/** Minimum interval between reads of the target list: changes come in bursts, and every read is a store call. */
const minListIntervalMs = 200;
/**
 * Minimum interval after recent orders. It is shorter because the controller waits to see their effect
 * before its next step.
 */
const minListIntervalAfterOrdersMs = 40;
/**
 * Delay between reporting unready and closing the listener: the load balancer needs two failed readiness
 * checks, one second apart, and open connections close meanwhile.
 */
const noticeMs = 2_600;
/** Reserved at the end of the grace period, after requests have been drained. */
const shutdownMarginMs = 700;
const holderListWatchTimeoutMs = 500;
const listWatchTimeoutMs = 2_000;
/**
 * A daemon watches the store itself while the target list that it received is older than this. A leaving
 * target must receive no new requests after 2 s, also when only the holder is cut off from the store.
 */
const maxReceivedListAgeMs = 1_700;
/** Time that a starting daemon waits for data of the lease holder before it reads the store itself. */
const startWaitMs = 1_500;
const msPerSecond = 1_000;
const bytesPerMb = 1_048_576;
/**
 * Parts of the memory of a process for answers and request bodies. The rest is for the program and its heap, for the
 * joining of a whole answer or body, and for bytes that were given up and not collected yet.
 */
const answersMemoryFraction = 1 / 8;
const bodiesMemoryFraction = 1 / 8;
/** The rest is for targets, other daemons, the store and files. */
const callersDescriptorFraction = 0.6;
/** Requests that a daemon may have in progress for each MB of its memory. */
const requestsPerMb = 8;
const headerFieldsPerMb = 256;
const leaseKey = { kind: 'comfreydrum-leases', name: 'formation' } as const;
const verdictsKey = { kind: 'comfreydrum-quarantines', name: 'requests' } as const;

const createStore = (container: tsyringe.DependencyContainer) => {
  const { store } = container.resolve(relayTokens.settings);
  return objectStore.createBudgetedPlatformClient(container.resolve(relayTokens.platform).store, {
    clock: container.resolve(relayTokens.clock),
    random: Math.random,
    readsPerSecond: store.readsPerSecond,
    writesPerSecond: store.writesPerSecond,
    memberCount: () => container.resolve(relayTokens.lease).daemonCount(),
    maxRetryMs: maxStoreRetryDelayMs,
  });
};

const createPlatform = (container: tsyringe.DependencyContainer) => {
  const { store, ip, targets } = container.resolve(relayTokens.settings);
  return operatorsPlatform.createOperatorsPlatform({
    storeAddress: store.address,
    storeCallTimeoutMs: store.callTimeoutMs,
    localAddress: ip,
    sendsFencingTokens: targets.checkFencing,
  });
};

/** Returns the dependencies shared by the components that watch the store. */
const resolveSharedDependencies = (container: tsyringe.DependencyContainer) => ({
  client: container.resolve(relayTokens.store),
  clock: container.resolve(relayTokens.clock),
  log: container.resolve(relayTokens.log),
  metrics: container.resolve(relayTokens.metrics),
  random: Math.random,
});

/** Returns the lease holder, which schedules the requests to targets that name a limit. */
const findScheduler = (
  state: formation.LeaseState,
): ReturnType<relay.LimitOptions['scheduler']> => {
  if (state.kind === 'holder') return { kind: state.mayAct ? 'self' : 'unknown' };
  return state.holderAddress === undefined
    ? { kind: 'unknown' }
    : { kind: 'peer', address: state.holderAddress };
};

const createRelay = (container: tsyringe.DependencyContainer) => {
  const {
    ip,
    failureDomain,
    callers,
    targets,
    keys,
    plan,
    retries,
    shutdown,
    memory,
    descriptors,
  } = container.resolve(relayTokens.settings);
  const { host, port } = peers.parseAddress(callers.listen);
  const { callerWire, targetWire } = container.resolve(relayTokens.platform);
  const evacuations = container.resolve(relayTokens.evacuations);
  return relay.createRelay({
    host,
    port,
    failureDomain,
    localAddress: ip,
    noticeMs,
    drainTimeoutMs: shutdown.graceSeconds * msPerSecond - noticeMs - shutdownMarginMs,
    gate: {
      maxRequestsPerConnection: callers.maxRequestsPerConnection,
      maxRequests: memory.processMb * requestsPerMb,
      maxHeaderFields: memory.processMb * headerFieldsPerMb,
    },
    maxConnections: Math.floor(descriptors.processMax * callersDescriptorFraction),
    clock: container.resolve(relayTokens.clock),
    log: container.resolve(relayTokens.log),
    metrics: container.resolve(relayTokens.metrics),
    plan: container.resolve(relayTokens.plan),
    targets: container.resolve(relayTokens.targets),
    evacuations,
    callerWire,
    targetWire,
    random: Math.random,
    daemonCount: () => container.resolve(relayTokens.lease).daemonCount(),
    otherLoads: () => container.resolve(relayTokens.lease).otherLoads(),
    otherLoadsAgeMs: () => container.resolve(relayTokens.lease).otherLoadsAgeMs(),
    keyValidityMs: keys.revocationMs - keyCheckMarginMs,
    denialValidityMs: plan.inForceMs - denialMarginMs,
    retryFraction: retries.fraction,
    fleetRetryReserve: retries.reserve,
    hasher: container.resolve(relayTokens.hasher),
    failureReporter: {
      suspect: (targetId) =>
        container.resolve(relayTokens.formation).suspect({ targetId, isSilent: false }),
      confirmLoss: async (groupKey, silentMs) => {
        const unresponsive = await container
          .resolve(relayTokens.formation)
          .findUnresponsive(groupKey, silentMs);
        const endedMembers = unresponsive.filter(({ hasEnded }) => hasEnded);
        return { isLost: unresponsive.length > 0, endedMembers };
      },
    },
    crashes: {
      calls: container.resolve(relayTokens.calls),
      runId: container.resolve(relayTokens.runId),
      peerAddresses: () => container.resolve(relayTokens.lease).contactAddresses(),
      checkInSoon: () => container.resolve(relayTokens.lease).checkInSoon(),
      storeClient: container.resolve(relayTokens.store),
      storeKey: verdictsKey,
      isHolder: () => container.resolve(relayTokens.lease).state().kind === 'holder',
    },
    reach: {
      calls: container.resolve(relayTokens.calls),
      peerAddresses: () => container.resolve(relayTokens.lease).contactAddresses(),
    },
    memory: {
      answerBytes: memory.processMb * bytesPerMb * answersMemoryFraction,
      bodyBytes: memory.processMb * bytesPerMb * bodiesMemoryFraction,
    },
    coldStart: targets.coldStart,
    // Targets may have become cold shortly before the evacuation of their failure domain was taken back.
    assumedColdUntilMs: ({ failureDomain: domain }, { durationMs }) =>
      (evacuations.endedAtMs(domain) ?? -Infinity) + durationMs,
    signals: {
      runId: container.resolve(relayTokens.runId),
      heedsLeaving: targets.drainMs !== undefined,
    },
    limits: {
      calls: container.resolve(relayTokens.calls),
      runId: container.resolve(relayTokens.runId),
      scheduler: () => findScheduler(container.resolve(relayTokens.lease).state()),
      checkInSoon: () => container.resolve(relayTokens.lease).checkInSoon(),
    },
  });
};

/** Creates the tracker of evacuations where the settings ask for one. */
const createEvacuations = (
  container: tsyringe.DependencyContainer,
  { isHolder, mayFollow }: Pick<fleet.EvacuationTrackerOptions, 'isHolder' | 'mayFollow'>,
): fleet.EvacuationTracker => {
  const { failureDomains } = container.resolve(relayTokens.settings);
  if (failureDomains === undefined) return fleet.noEvacuations;
  const targets = () => [...container.resolve(relayTokens.targets).all().values()];
  return fleet.createEvacuationTracker({
    ...resolveSharedDependencies(container),
    source: container.resolve(relayTokens.platform).evacuationSource,
    evacuationMs: failureDomains.evacuationMs,
    isHolder,
    mayFollow,
    countTargets: (name) => targets().filter(({ failureDomain }) => failureDomain === name).length,
  });
};

/**
 * Merges what daemons exchange in check-ins: the fleet's state, crashes, limits of targets, leaving targets, evacuations
 * and the demand.
 */
const createCheckInPayload = (
  container: tsyringe.DependencyContainer,
  stateExchange: fleet.FleetStateExchange,
): formation.CheckInPayload => {
  const crashExchange = () => container.resolve(relayTokens.relay).crashExchange;
  const limitExchange = () => container.resolve(relayTokens.relay).limitExchange;
  const demandExchange = () => container.resolve(relayTokens.relay).demandExchange;
  const leavingExchange = () => container.resolve(relayTokens.relay).leavingExchange;
  const evacuationExchange = fleet.createEvacuationExchange(() =>
    container.resolve(relayTokens.evacuations),
  );
  return {
    createRequest: (holderRunId) => ({
      ...stateExchange.createRequest(holderRunId),
      ...crashExchange().createRequest(),
      ...limitExchange().createRequest(),
      ...leavingExchange().createRequest(),
      ...demandExchange().createRequest(),
    }),
    createResponse: (request) => {
      demandExchange().recordRequest(request);
      return {
        ...stateExchange.createResponse(request),
        ...crashExchange().createResponse(request),
        ...limitExchange().createResponse(request),
        ...leavingExchange().createResponse(request),
        ...evacuationExchange.createResponse(),
      };
    },
    applyResponse: (response, askedAt) => {
      stateExchange.applyResponse(response, askedAt);
      crashExchange().applyResponse(response);
      limitExchange().applyResponse(response);
      leavingExchange().applyResponse(response);
      evacuationExchange.applyResponse(response, askedAt);
    },
  };
};

/** Creates the dependency injection container of a relay daemon. Components are created when first resolved. */
export const createRelayContainer = async (
  daemonSettings: settings.RelaySettings,
  log: telemetry.Log,
): Promise<tsyringe.DependencyContainer> => {
  const container = tsyringe.container.createChildContainer();
  const systemClock = clock.createSystemClock();
  const { instanceId, ip, fleet: fleetName } = daemonSettings;
  /** Distinguishes runs of the same instance, also when it restarts at the same address. */
  const runId = `${instanceId}/${systemClock.wallMs().toString(36)}`;

  const register = <Component>(
    token: tsyringe.InjectionToken<Component>,
    create: (resolver: tsyringe.DependencyContainer) => Component,
  ) =>
    container.register(token, {
      useFactory: tsyringe.instanceCachingFactory(() => create(container)),
    });

  container.register(relayTokens.settings, { useValue: daemonSettings });
  container.register(relayTokens.clock, { useValue: systemClock });
  container.register(relayTokens.log, { useValue: log });
  container.register(relayTokens.hasher, { useValue: await routing.createPrefixHasher() });
  container.register(relayTokens.metrics, { useValue: telemetry.createMetrics() });
  container.register(relayTokens.runId, { useValue: runId });
  register(relayTokens.platform, createPlatform);
  register(relayTokens.store, createStore);
  register(relayTokens.calls, () =>
    peers.createStandalonePeerCalls({
      selfId: instanceId,
      fleet: fleetName,
      listen: daemonSettings.peers.listen,
      localAddress: ip,
      hybridClock: clock.createHybridClock(systemClock),
    }),
  );
  const startedAtMs = systemClock.monotonicMs();
  const stateExchange = fleet.createFleetStateExchange({
    clock: systemClock,
    plan: () => container.resolve(relayTokens.plan),
    targets: () => container.resolve(relayTokens.targets),
  });
  const isHolder = () => container.resolve(relayTokens.lease).state().kind === 'holder';
  /**
   * Reports whether the initial wait is over, during which the lease holder may supply all data and no
   * call to the store is needed.
   */
  const isStartWaitOver = () => systemClock.monotonicMs() - startedAtMs >= startWaitMs;
  register(relayTokens.plan, (resolver) =>
    fleet.createPlanTracker({
      ...resolveSharedDependencies(resolver),
      inForceMs: daemonSettings.plan.inForceMs,
      isHolder,
      mayFollow: isStartWaitOver,
      source: resolver.resolve(relayTokens.platform).planSource,
    }),
  );
  register(relayTokens.targets, (resolver) =>
    fleet.createTargetList({
      ...resolveSharedDependencies(resolver),
      source: resolver.resolve(relayTokens.platform).targetSource,
      minIntervalMs: () =>
        isHolder() && resolver.resolve(relayTokens.formation).hasRecentOrders()
          ? minListIntervalAfterOrdersMs
          : minListIntervalMs,
      listId: runId,
      shouldFollow: () => {
        const isReceivedListFresh =
          stateExchange.isFresh() &&
          resolver.resolve(relayTokens.targets).ageMs() <= maxReceivedListAgeMs;
        return isHolder() || (isStartWaitOver() && !isReceivedListFresh);
      },
      defaultWatchTimeoutMs: () => (isHolder() ? holderListWatchTimeoutMs : listWatchTimeoutMs),
    }),
  );
  register(relayTokens.evacuations, (resolver) =>
    createEvacuations(resolver, { isHolder, mayFollow: isStartWaitOver }),
  );
  register(relayTokens.lease, (resolver) =>
    formation.createLease({
      ...resolveSharedDependencies(resolver),
      calls: resolver.resolve(relayTokens.calls),
      key: leaseKey,
      isFirstStart: daemonSettings.store.isFirstStart,
      runId,
      address: daemonSettings.peers.listen,
      cores: daemonSettings.processor.cores * daemonSettings.processor.share,
      checkInPayload: createCheckInPayload(resolver, stateExchange),
      ownLoads: () => resolver.resolve(relayTokens.relay).ownLoads(),
    }),
  );
  register(relayTokens.formation, (resolver) =>
    formation.createFormation({
      clock: systemClock,
      log,
      metrics: resolver.resolve(relayTokens.metrics),
      plan: resolver.resolve(relayTokens.plan),
      targets: resolver.resolve(relayTokens.targets),
      evacuations: resolver.resolve(relayTokens.evacuations),
      orders: resolver.resolve(relayTokens.platform).orders,
      lease: resolver.resolve(relayTokens.lease),
      calls: resolver.resolve(relayTokens.calls),
      address: daemonSettings.peers.listen,
      isBeforeTraffic: () => !resolver.resolve(relayTokens.relay).hasReceivedRequests(),
      demand: (serviceName, seconds) =>
        resolver.resolve(relayTokens.relay).demandExchange.latestSeconds(serviceName, seconds),
    }),
  );
  register(relayTokens.relay, createRelay);
  return container;
};
