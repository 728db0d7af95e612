import type * as clock from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import type { Duties } from './createDuties';
import type { Evidence } from './createEvidence';
import type { FleetView } from './createFleetView';
import type { PresenceReader } from './createPresenceReader';
import type { Prober } from './createProber';
import type { Records } from './createRecords';
import { createWatcher, watchedPhases } from './createWatcher';
import { createWatchRounds } from './createWatchRounds';
import { membersOf } from './FabricDomainRecord';
import { publishGreeting } from './publishWord';
import type { Observe } from './judgeGroup';

/** Runs the watcher over the fabric domains that this daemon watches. */
export interface Watching {
  /** Probes the domains that are due and schedules their reports. Call it every `watchTickMs`. */
  readonly tick: () => void;
  readonly stop: () => void;
}

/** Dependencies of the watch loop. */
export interface WatchingOptions {
  readonly clock: clock.Clock;
  readonly news: peers.News;
  readonly prober: Prober;
  readonly observe: Observe;
  /** Identifies this run of the daemon. */
  readonly sender: string;
  readonly view: FleetView;
  readonly records: Records;
  readonly evidence: Evidence;
  readonly duties: Duties;
  readonly fabricDomains: () => readonly string[];
  readonly onOwnWord: PresenceReader['onOwnWord'];
}

export const watchTickMs = 100;
const probeIntervalMs = 600;
const publishAfterProbeMs = 120;
/**
 * The evidence age at which the secondary watcher starts to probe, while enough of the evidence
 * window is left.
 */
const helpAgeMs = 900;

/** Creates the watch loop of a daemon. */
export const createWatching = (options: WatchingOptions): Watching => {
  const { clock, prober, view, records, evidence, duties: daemonRoles } = options;
  const timers = new Set<NodeJS.Timeout>();

  const watcher = createWatcher({
    clock,
    news: options.news,
    observe: options.observe,
    prober,
    sender: options.sender,
    listed: view.listed,
    record: records.get,
    isCovered: daemonRoles.isCovered,
    onOwnWord: options.onOwnWord,
  });
  prober.onObservation(watcher.onObservation);

  /**
   * Whether the primary watcher is silent, or a loaded group lacks recent evidence or has a leaving
   * member.
   */
  const isSecondaryNeeded = (fabricDomain: string): boolean => {
    if (!daemonRoles.hasFirstSpoken(fabricDomain, helpAgeMs)) return true;
    const nowMs = clock.monotonicMs();
    const { record } = records.get(fabricDomain);
    return Object.entries(record.groups)
      .filter(([, { phase }]) => watchedPhases.has(phase))
      .some(([groupId, { generation }]) => {
        const group = { groupId, generation };
        const isRecent = evidence.ageMs(group, nowMs) < helpAgeMs;
        if (!isRecent || !evidence.isFresh(group, nowMs)) return true;
        return membersOf(record, groupId).some((member) => view.isListedLeaving(member.instanceId));
      });
  };

  const rounds = createWatchRounds({
    clock,
    watched: () => options.fabricDomains().filter(daemonRoles.watches),
    isFirst: daemonRoles.controls,
    needsHelp: isSecondaryNeeded,
    versionOf: (fabricDomain) => records.get(fabricDomain).version,
    intervalMs: probeIntervalMs,
    tickMs: watchTickMs,
  });

  let activeBefore: readonly string[] = [];
  const greetWhenBeginning = (active: readonly string[]) => {
    const begins = active.some((name) => !activeBefore.includes(name));
    activeBefore = active;
    if (begins) publishGreeting(options.news, options.sender, clock.monotonicMs());
  };

  const publishLater = (fabricDomains: readonly string[]) => {
    const timer = setTimeout(() => {
      timers.delete(timer);
      watcher.publish(fabricDomains);
    }, publishAfterProbeMs);
    timers.add(timer);
  };

  return {
    tick: () => {
      const { due, active } = rounds.next();
      greetWhenBeginning(active);
      watcher.probe(due, active);
      if (due.length > 0) publishLater(due);
    },
    stop: () => timers.forEach((timer) => clearTimeout(timer)),
  };
};
