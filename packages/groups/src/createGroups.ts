import { setTimeout as delay } from 'node:timers/promises';
import type * as clock from '@comfreydrum/clock';
import type * as configuration from '@comfreydrum/configuration';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import type * as telemetry from '@comfreydrum/telemetry';
import { createArrivalClock } from './createArrivalClock';
import { createControl } from './createControl';
import { createDecisions } from './createDecisions';
import { createDirectory } from './createDirectory';
import { createDuties } from './createDuties';
import { createEvidence } from './createEvidence';
import { createFleetView } from './createFleetView';
import { createListFollower, listTickMs } from './createListFollower';
import { createPresenceReader, publishLoss } from './createPresenceReader';
import { createProber } from './createProber';
import { createRecords } from './createRecords';
import { createRendezvous } from './createRendezvous';
import { createServices, type ServiceDirectory } from './createServices';
import { createWatching, watchTickMs } from './createWatching';
import { createWordDecoder } from './createWordDecoder';
import { listPrefix } from './ListNews';
import { withListedLeaving } from './withListedLeaving';
import type { GroupDirectory } from './GroupDirectory';
import type { PlacementPolicy } from './placement/PlacementPolicy';
import { describeStatus, type GroupsStatus } from './describeStatus';
import { WeightedPlacement } from './placement/WeightedPlacement';

/** Dependencies and settings of the groups part. */
export interface GroupsOptions {
  readonly configuration: configuration.ConfigurationStore;
  readonly platform: objectStore.PlatformClient;
  readonly membership: peers.Membership;
  readonly news: peers.News;
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

/** The groups part of a daemon: group and service directories, status, and its lifecycle. */
export interface Groups {
  readonly directory: GroupDirectory;
  readonly services: ServiceDirectory;
  readonly part: lifecycle.Part;
  readonly status: () => GroupsStatus;
}

const evidenceWindowMs = 1_600;
const probeTimeoutMs = 550;
const controlIntervalMs = 200;
const watchPausePerMemberMs = 5;
const defaultDrainTimeoutMs = 120_000;

/** Creates the groups part of a daemon: its directories, watcher and controller. */
export const createGroups = (options: GroupsOptions): Groups => {
  const { clock, news, membership, timeline } = options;
  const log = options.log.child({ part: 'groups' });
  const abort = new AbortController();
  const timers = new Set<NodeJS.Timeout>();
  const writer = `${options.instanceId}/${membership.self().incarnation}`;
  const daemonRoles = createDuties(clock, membership, options.instanceId);

  const evidence = createEvidence(evidenceWindowMs);
  const delayEstimator = createArrivalClock(clock);
  const view = createFleetView(clock, options.configuration);
  const services = createServices(options.configuration, view);

  const directory = createDirectory({
    clock,
    timeline,
    evidence,
    onReportedLoss: (group) => publishLoss(news, group, writer, clock.monotonicMs()),
  });
  const reader = createPresenceReader({
    log,
    arrivalClock: delayEstimator,
    directory,
    view,
    duties: daemonRoles,
    decode: createWordDecoder({ groups: directory.groups, listed: view.listed }),
  });

  const decisions = createDecisions(clock, options.policy ?? new WeightedPlacement(), () =>
    view.placementState(directory.groups()),
  );

  const sleep = (durationMs: number, signal: AbortSignal) =>
    delay(durationMs, undefined, { signal }).catch(() => undefined);
  const jitter = (durationMs: number) => durationMs * (0.5 + options.random());

  const records = createRecords({
    platform: options.platform,
    log,
    sleep,
    pauseMs: () => jitter(membership.members().length * watchPausePerMemberMs),
    onChange: () => {
      directory.onRecords(records.all());
      decisions.invalidate();
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

  const control = createControl({
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
    actionsOf: decisions.actionsOf,
    evidenceAgeMs: (group) => evidence.ageMs(group, clock.monotonicMs()),
    evidenceWindowMs,
    controlled: () => fabricDomains().filter(daemonRoles.controls),
    localAddress: options.localAddress,
    random: options.random,
    drainTimeoutMs: options.drainTimeoutMs ?? defaultDrainTimeoutMs,
  });

  const watching = createWatching({
    clock,
    news,
    prober,
    observe,
    sender: writer,
    view,
    records,
    evidence,
    duties: daemonRoles,
    fabricDomains,
    onOwnWord: reader.onOwnWord,
  });

  const listFollower = createListFollower({
    clock,
    news,
    read: options.platform.instances,
    listed: view.listed,
    setListed: view.setListed,
    rank: daemonRoles.listRank,
    isWatcher: () => fabricDomains().some(daemonRoles.watches),
    memberCount: () => membership.members().length,
    random: options.random,
  });

  const onNews = (item: peers.NewsItem) => {
    if (item.origin === options.instanceId) return;
    if (item.key.startsWith(listPrefix)) listFollower.onNews(item);
    else reader.onNews(item);
  };

  return {
    directory,
    services,
    status: () =>
      describeStatus({
        groups: directory.groups(),
        listed: view.listed(),
        conditionOf: view.conditionOf,
        evidenceAgeMs: (group) => evidence.ageMs(group, clock.monotonicMs()),
        maySend: ({ groupId, generation }) => directory.maySend(groupId, generation),
      }),
    part: {
      name: 'groups',
      start: async () => {
        daemonRoles.setRendezvous(await createRendezvous());
        news.onNews('presence', onNews);
        void records.follow(abort.signal);
        void listFollower.tick();
        timers.add(
          setInterval(() => {
            void listFollower.tick();
          }, listTickMs),
        );
        timers.add(setInterval(delayEstimator.tick, delayEstimator.tickMs));
        timers.add(setInterval(watching.tick, watchTickMs));
        timers.add(
          setInterval(() => {
            void control.step();
          }, controlIntervalMs),
        );
      },
      stop: async () => {
        abort.abort();
        watching.stop();
        timers.forEach((timer) => clearTimeout(timer));
        await Promise.all([prober.close(), control.close()]);
      },
    },
  };
};
