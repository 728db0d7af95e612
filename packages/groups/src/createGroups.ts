import { setTimeout as delay } from 'node:timers/promises';
import type * as clock from '@comfreydrum/clock';
import type * as configuration from '@comfreydrum/configuration';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import { createDelayEstimator } from './createDelayEstimator';
import { createControlLoop } from './createControlLoop';
import { createDecisionCache } from './createDecisionCache';
import { createDirectory } from './createDirectory';
import { createDaemonRoles } from './createDaemonRoles';
import { createEvidenceStore } from './createEvidenceStore';
import { createFleetView } from './createFleetView';
import { createListFollower, listTickMs } from './createListFollower';
import { createPresenceReceiver, publishLoss } from './createPresenceReceiver';
import { createProber } from './createProber';
import { createRecordCache } from './createRecordCache';
import { createRendezvousHash } from './createRendezvousHash';
import { createServiceDirectory, type ServiceDirectory } from './createServiceDirectory';
import { createWatchLoop, watchTickMs } from './createWatchLoop';
import { createReportDecoder } from './createReportDecoder';
import { listKeyPrefix } from './listMessages';
import { withListedLeaving } from './withListedLeaving';
import type { GroupDirectory } from './GroupDirectory';
import type { PlacementPolicy } from './placement/PlacementPolicy';
import { describeStatus, type GroupsStatus } from './describeStatus';
import { WeightedPlacement } from './placement/WeightedPlacement';

/** Dependencies and settings of the groups component. */
export interface GroupsOptions {
  readonly configuration: configuration.ConfigurationStore;
  readonly platform: objectStore.PlatformClient;
  readonly membership: peers.Membership;
  readonly messageBus: peers.MessageBus;
  readonly calls: peers.PeerCalls;
  readonly clock: clock.Clock;
  readonly log: telemetry.Log;
  readonly timeline: telemetry.Timeline;
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly localAddress?: string | undefined;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly policy?: PlacementPolicy;
  readonly drainTimeoutMs?: number;
}

/** The groups component of a daemon: group and service directories, status, and its lifecycle. */
export interface Groups {
  readonly directory: GroupDirectory;
  readonly services: ServiceDirectory;
  readonly component: lifecycle.Component;
  readonly status: () => GroupsStatus;
}

const evidenceWindowMs = 1_600;
const probeTimeoutMs = 550;
const controlIntervalMs = 200;
const watchPausePerMemberMs = 5;
const defaultDrainTimeoutMs = 120_000;

/** Creates the groups component of a daemon: its directories, watcher and controller. */
export const createGroups = (options: GroupsOptions): Groups => {
  const { clock, messageBus, membership, timeline } = options;
  const log = options.log.child({ part: 'groups' });
  const abort = new AbortController();
  const timers = new Set<NodeJS.Timeout>();
  const writer = `${options.instanceId}/${membership.self().incarnation}`;
  const daemonRoles = createDaemonRoles(clock, membership, options.instanceId);

  const evidence = createEvidenceStore(evidenceWindowMs);
  const delayEstimator = createDelayEstimator(clock);
  const view = createFleetView(clock, options.configuration);
  const services = createServiceDirectory(options.configuration, view);

  const directory = createDirectory({
    clock,
    timeline,
    evidence,
    onReportedLoss: (group) => publishLoss(messageBus, group, writer, clock.monotonicMs()),
  });
  const presenceReceiver = createPresenceReceiver({
    log,
    estimator: delayEstimator,
    directory,
    view,
    roles: daemonRoles,
    decode: createReportDecoder({ groups: directory.groups, listed: view.listed }),
  });

  const decisionCache = createDecisionCache(clock, options.policy ?? new WeightedPlacement(), () =>
    view.placementState(directory.groups()),
  );

  const sleep = (durationMs: number, signal: AbortSignal) =>
    delay(durationMs, undefined, { signal }).catch(() => undefined);
  const withJitter = (durationMs: number) => durationMs * (0.5 + options.random());

  const records = createRecordCache({
    platform: options.platform,
    log,
    sleep,
    pauseMs: () => withJitter(membership.members().length * watchPausePerMemberMs),
    onChange: () => {
      directory.onRecords(records.all());
      decisionCache.invalidate();
    },
  });

  const prober = createProber({
    clock,
    timeoutMs: probeTimeoutMs,
    localAddress: options.localAddress,
  });
  const observe = withListedLeaving(prober.observe, view.isListedLeaving);

  const fabricDomains = (): readonly string[] =>
    [
      ...new Set([...view.listed().map((entry) => entry.fabricDomain), ...records.all().keys()]),
    ].sort();

  const controlLoop = createControlLoop({
    clock,
    log,
    timeline,
    configuration: options.configuration,
    platform: options.platform,
    records,
    writer,
    view,
    observe,
    groups: directory.groups,
    actionsOf: decisionCache.actionsOf,
    evidenceAgeMs: (group) => evidence.ageMs(group, clock.monotonicMs()),
    evidenceWindowMs,
    controlledDomains: () => fabricDomains().filter(daemonRoles.isController),
    localAddress: options.localAddress,
    random: options.random,
    drainTimeoutMs: options.drainTimeoutMs ?? defaultDrainTimeoutMs,
  });

  const watchLoop = createWatchLoop({
    clock,
    messageBus,
    prober,
    observe,
    sender: writer,
    view,
    records,
    evidence,
    roles: daemonRoles,
    fabricDomains,
    onOwnReport: presenceReceiver.onOwnReport,
  });

  const listFollower = createListFollower({
    clock,
    messageBus,
    read: options.platform.instances,
    listed: view.listed,
    setListed: view.setListed,
    rank: daemonRoles.listReaderRank,
    isWatcher: () => fabricDomains().some(daemonRoles.isWatcher),
    memberCount: () => membership.members().length,
    random: options.random,
  });

  const onMessage = (item: peers.BusMessage) => {
    if (item.origin === options.instanceId) return;
    if (item.key.startsWith(listKeyPrefix)) listFollower.onMessage(item);
    else presenceReceiver.onMessage(item);
  };

  return {
    directory,
    services,
    status: () =>
      describeStatus({
        groups: directory.groups(),
        listed: view.listed(),
        stateOf: view.stateOf,
        evidenceAgeMs: (group) => evidence.ageMs(group, clock.monotonicMs()),
        maySend: ({ groupId, generation }) => directory.maySend(groupId, generation),
      }),
    component: {
      name: 'groups',
      start: async () => {
        daemonRoles.setRendezvousHash(await createRendezvousHash());
        messageBus.onMessage('presence', onMessage);
        void records.follow(abort.signal);
        void listFollower.tick();
        timers.add(
          setInterval(() => {
            void listFollower.tick();
          }, listTickMs),
        );
        timers.add(setInterval(delayEstimator.tick, delayEstimator.tickMs));
        timers.add(setInterval(watchLoop.tick, watchTickMs));
        timers.add(
          setInterval(() => {
            void controlLoop.step();
          }, controlIntervalMs),
        );
      },
      stop: async () => {
        abort.abort();
        watchLoop.stop();
        timers.forEach((timer) => clearTimeout(timer));
        await Promise.all([prober.close(), controlLoop.close()]);
      },
    },
  };
};
