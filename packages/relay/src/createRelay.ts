import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import * as lifecycle from '@comfreydrum/lifecycle';
import type * as objectStore from '@comfreydrum/object-store';
import type * as peers from '@comfreydrum/peers';
import type * as routing from '@comfreydrum/routing';
import * as targetClient from '@comfreydrum/target-client';
import type * as telemetry from '@comfreydrum/telemetry';
import type { CallerWire } from './CallerRequest';
import {
  createCallerListener,
  type CallerListener,
  type CallerListenerOptions,
} from './createCallerListener';
import { createCrashExchange, type CrashExchange } from './crashes/createCrashExchange';
import { createCrashMonitor } from './crashes/createCrashMonitor';
import { createProcessCheck } from './crashes/createProcessCheck';
import { createVerdictStore } from './crashes/createVerdictStore';
import { createTargetReach, type ReachOptions } from './reach/createTargetReach';
import type { ColdTargetOptions } from './limits/createColdTargets';
import { createTargetLimits, type LimitOptions } from './limits/createTargetLimits';
import type { LimitExchange } from './limits/createLimitExchange';
import { createDemandCounter } from './demand/createDemandCounter';
import { createDemandExchange, type DemandExchange } from './demand/createDemandExchange';
import { createDurationEstimates } from './createDurationEstimates';
import { createRelayMetrics } from './createRelayMetrics';
import { addIntakeMetrics } from './addIntakeMetrics';
import { addMemoryMetrics } from './memory/addMemoryMetrics';
import { createByteBudget } from './memory/createByteBudget';
import type { LeavingExchange } from './signals/createLeavingExchange';
import { createTargetSignals, type SignalOptions } from './signals/createTargetSignals';
import { createDispatchQueues } from './placing/createDispatchQueues';
import { createPlacing } from './placing/createPlacing';
import { probeTarget } from './reach/probeTarget';
import { createServiceRetryBudgets } from './createServiceRetryBudgets';
import { createStallMonitor } from './createStallMonitor';
import { createTargetTracker } from './createTargetTracker';
import { createTargetDirectory } from './createTargetDirectory';
import { createWarmUps } from './createWarmUps';
import type { RelayDependencies, FailureReporter } from './RelayDependencies';
import type { TargetWire } from './TargetWire';

/** How a relay shares what it knows of requests that crash targets. */
export interface CrashOptions {
  readonly calls: peers.PeerCalls;
  /** Identifies this run of this daemon. */
  readonly runId: string;
  /** Returns the addresses of some other live daemons. */
  readonly peerAddresses: () => readonly string[];
  readonly checkInSoon: () => void;
  readonly storeClient: objectStore.PlatformClient;
  readonly storeKey: objectStore.ObjectKey;
  /** Whether this daemon holds the lease. */
  readonly isHolder: () => boolean;
}

/** Bounds on what requests in progress keep in memory. */
export interface MemoryOptions {
  /** Answers of targets, until their callers have got them. */
  readonly answerBytes: number;
  /** Request bodies, until their requests have ended. */
  readonly bodyBytes: number;
}

/** The settings and dependencies of a relay. */
export interface RelayOptions extends CallerListenerOptions {
  readonly failureDomain: string;
  readonly localAddress: string | undefined;
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly metrics: telemetry.Metrics;
  readonly plan: fleet.PlanTracker;
  readonly targets: fleet.TargetList;
  readonly evacuations: fleet.Evacuations;
  readonly callerWire: CallerWire;
  readonly targetWire: TargetWire;
  readonly random: () => number;
  readonly daemonCount: () => number;
  /** Returns the requests that the other daemons have in progress, by run of a target. */
  readonly otherLoads: () => Readonly<Record<string, number>>;
  /** Returns the mean age of those reports. */
  readonly otherLoadsAgeMs: () => number;
  readonly keyValidityMs: number;
  readonly denialValidityMs: number;
  /** Retries at a service allowed per first attempt, across the fleet. */
  readonly retryFraction: number;
  /** Additional retries allowed at each service across the fleet. */
  readonly fleetRetryReserve: number;
  readonly failureReporter: FailureReporter;
  readonly hasher: routing.PrefixHasher;
  readonly crashes: CrashOptions;
  readonly limits: LimitOptions;
  /** Bounds on the requests to cold targets; undefined where the deployment names none. */
  readonly coldStart?: ColdTargetOptions['bounds'];
  readonly assumedColdUntilMs?: ColdTargetOptions['assumedColdUntilMs'];
  readonly reach: ReachOptions;
  readonly memory: MemoryOptions;
  readonly signals: SignalOptions;
}

/** Serves callers' requests and reports readiness and load. */
export interface Relay extends CallerListener {
  /** Reports whether the daemon can serve callers, and the reason if it can't. */
  readonly readiness: () => { readonly ready: boolean; readonly reason: string };
  /** Reports whether any request of a caller has arrived since the start. */
  readonly hasReceivedRequests: () => boolean;
  /** Returns the requests that this daemon has in progress, by run of a target. */
  readonly ownLoads: () => Readonly<Record<string, number>>;
  readonly crashExchange: CrashExchange;
  readonly limitExchange: LimitExchange;
  readonly demandExchange: DemandExchange;
  readonly leavingExchange: LeavingExchange;
}

/**
 * Usable part of the fleet's retry reserve of a service; the rest covers killed daemons, which restart and use their
 * share twice.
 */
const usableReserveFraction = 0.7;
/** Usable part of the retry fraction; the rest covers attempts that no daemon counts because theirs was killed. */
const usableRetryFraction = 0.85;
const reserveIntervalMs = 1_000;
/** Part of the time to drain in which requests that wait may still start; the rest is for them to end. */
const waitDrainFraction = 0.4;
/** Keep-alive timeout of single-use connections, which closes them as soon as they are idle. */
const singleUseKeepAliveMs = 1;

export const createRelay = (options: RelayOptions): Relay => {
  const { clock, plan, targets, evacuations } = options;
  const log = options.log.child({ part: 'relay' });
  const targetTracker = createTargetTracker();
  const client = targetClient.createTargetClient(options.localAddress);
  const singleUseClient = targetClient.createTargetClient(
    options.localAddress,
    singleUseKeepAliveMs,
  );
  const stallMonitor = createStallMonitor(clock);
  const ownReserve = () =>
    (options.fleetRetryReserve * usableReserveFraction) / Math.max(1, options.daemonCount());
  const retryBudgets = createServiceRetryBudgets({
    fraction: options.retryFraction * usableRetryFraction,
    reserve: ownReserve(),
  });
  const metrics = createRelayMetrics(options.metrics);
  const demandCounter = createDemandCounter(clock);
  const demandExchange = createDemandExchange({
    clock,
    runId: options.crashes.runId,
    counter: demandCounter,
  });
  options.metrics.sampledCounters(
    'comfreydrum_demand_target_ms_total',
    'Predicted time of targets that callers asked for, by model.',
    'model',
    () =>
      Object.fromEntries(
        Object.values(demandCounter.totals())
          .flatMap((byModel) => Object.entries(byModel))
          .map(([modelName, { targetMs }]) => [modelName, targetMs]),
      ),
  );
  const crashExchange = createCrashExchange({ ...options.crashes, clock });
  const processCheck = createProcessCheck({ clock, localAddress: options.localAddress });
  const crashMonitor = createCrashMonitor({
    clock,
    log,
    processCheck,
    crashedRuns: metrics.crashedRuns,
    publish: crashExchange.publish,
  });
  crashExchange.onUpdates(crashMonitor.applyUpdates);
  const verdictStore = createVerdictStore({
    client: options.crashes.storeClient,
    key: options.crashes.storeKey,
    isHolder: options.crashes.isHolder,
    clock,
    log,
    verdicts: crashMonitor.verdicts,
    onLoaded: (verdicts) =>
      verdicts.forEach(({ fingerprint, atMs }) => {
        const ageMs = clock.monotonicMs() - atMs;
        const verdict = { kind: 'quarantined', fingerprint, ageMs } as const;
        crashMonitor.applyUpdates([verdict]);
        crashExchange.publish(verdict);
      }),
  });
  const targetLimits = createTargetLimits({
    ...options.limits,
    clock,
    log,
    random: options.random,
    daemonCount: options.daemonCount,
    cold: {
      bounds: options.coldStart,
      assumedColdUntilMs: options.assumedColdUntilMs,
      targets,
      services: () => plan.current()?.services ?? new Map(),
    },
  });
  options.metrics.gauge(
    'comfreydrum_cold_targets',
    'Listed targets that are cold.',
    targetLimits.coldCount,
  );
  const answerBudget = createByteBudget(options.memory.answerBytes);
  const bodyBudget = createByteBudget(options.memory.bodyBytes);
  addMemoryMetrics(options.metrics, { answers: answerBudget, bodies: bodyBudget });
  const drain = lifecycle.createDrainPeriod({
    nowMs: clock.monotonicMs,
    noticeMs: options.noticeMs,
    durationMs: options.noticeMs + options.drainTimeoutMs,
  });
  /** Assigned once the listener exists. */
  let hasReceivedRequests = () => false;
  const targetSignals = createTargetSignals({
    ...options.signals,
    clock,
    log,
    received: metrics.targetSignals,
  });
  const directory = createTargetDirectory({
    targets,
    targetTracker,
    evacuations,
    failureDomain: options.failureDomain,
    otherLoads: options.otherLoads,
    limits: targetLimits,
    warmUps: createWarmUps({
      clock,
      targets,
      hasTraffic: () => hasReceivedRequests(),
      onEnd: targetTracker.forgetTimes,
    }),
    signals: targetSignals,
  });
  const targetReach = createTargetReach({
    ...options.reach,
    clock,
    log,
    random: options.random,
    failureDomain: options.failureDomain,
    callerAddress: `${options.host}:${options.port}`,
    isDraining: () => drain.elapsedMs() !== undefined,
    services: () => [...(plan.current()?.services.values() ?? [])],
    candidatesOf: (service) => directory.allTargets(service, clock.monotonicMs()),
    probe: (candidate) =>
      probeTarget(singleUseClient, options.targetWire, candidate, (metadata) =>
        targetSignals.onAnswer(candidate.key, metadata),
      ),
    targetTracker,
  });
  const dispatchQueues = createDispatchQueues({
    clock,
    random: options.random,
    onOutcome: (service, outcome, waitedMs) => {
      metrics.waits.add({ service: service.name, outcome });
      metrics.waitMs.record(waitedMs);
    },
  });
  options.metrics.gauge(
    'comfreydrum_waiting_requests',
    'Requests that wait for a place.',
    dispatchQueues.waitingCount,
  );
  let reserveTimer: NodeJS.Timeout | undefined;
  const dependencies: RelayDependencies = {
    clock,
    log,
    plan,
    targetTracker,
    placing: createPlacing({
      otherLoadsAgeMs: options.otherLoadsAgeMs,
      onPrediction: metrics.recordPrediction,
    }),
    dispatchQueues,
    client,
    singleUseClient,
    stallMonitor,
    metrics,
    directory,
    evacuations,
    callerWire: options.callerWire,
    targetWire: options.targetWire,
    retryBudgets,
    random: options.random,
    keyValidityMs: options.keyValidityMs,
    denialValidityMs: options.denialValidityMs,
    failureReporter: options.failureReporter,
    hasher: options.hasher,
    crashMonitor,
    processCheck,
    targetLimits,
    targetReach,
    demandCounter,
    targetSignals,
    drain,
    durations: createDurationEstimates(),
    answerBudget,
    bodyBudget,
  };
  const callerListener = createCallerListener(dependencies, options);
  addIntakeMetrics(options.metrics, callerListener);
  hasReceivedRequests = callerListener.hasReceivedRequests;
  let lastReady: boolean | undefined;

  const evaluateReadiness = () => {
    if (drain.elapsedMs() !== undefined) return { ready: false, reason: 'the daemon is draining' };
    if (plan.current() === undefined) return { ready: false, reason: 'no traffic plan is known' };
    if (!targets.isLoaded()) return { ready: false, reason: 'the targets are not known yet' };
    if (!evacuations.isKnown()) {
      return { ready: false, reason: 'the orders to empty failure domains are not known yet' };
    }
    if (plan.ageMs() > options.keyValidityMs) {
      return { ready: false, reason: 'the traffic plan is not proved in force' };
    }
    return { ready: true, reason: 'ready' };
  };

  const readiness = () => {
    const result = evaluateReadiness();
    if (result.ready !== lastReady) log.info({ step: 'readiness', ...result }, 'readiness changed');
    lastReady = result.ready;
    return result;
  };

  const children: readonly lifecycle.Component[] = [
    stallMonitor.component,
    dispatchQueues.component,
    targetReach.component,
    callerListener.component,
    verdictStore,
  ];
  return {
    ...callerListener,
    readiness,
    hasReceivedRequests: callerListener.hasReceivedRequests,
    ownLoads: targetTracker.loads,
    crashExchange,
    limitExchange: targetLimits.exchange,
    demandExchange,
    leavingExchange: targetSignals.exchange,
    component: {
      name: 'relay',
      start: async () => {
        for (const part of children) await part.start?.();
        reserveTimer = setInterval(() => {
          retryBudgets.setReserve(ownReserve());
          targetLimits.sampleDaemonCount();
        }, reserveIntervalMs);
      },
      stop: async () => {
        clearInterval(reserveTimer);
        callerListener.drain();
        const waitMs = options.noticeMs + options.drainTimeoutMs * waitDrainFraction;
        dispatchQueues.drain(Math.max(0, waitMs - (drain.elapsedMs() ?? 0)));
        await callerListener.component.stop?.();
        await dispatchQueues.component.stop?.();
        await verdictStore.stop?.();
        await targetReach.component.stop?.();
        await stallMonitor.component.stop?.();
        await Promise.all([client.close(), singleUseClient.close()]);
      },
    },
  };
};
