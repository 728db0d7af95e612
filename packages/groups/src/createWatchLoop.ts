import type * as clock from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import type { DaemonRoles } from './createDaemonRoles';
import type { EvidenceStore } from './createEvidenceStore';
import type { FleetView } from './createFleetView';
import type { PresenceReceiver } from './createPresenceReceiver';
import type { Prober } from './createProber';
import type { RecordCache } from './createRecordCache';
import { createWatcher, watchedPhases } from './createWatcher';
import { createProbeSchedule } from './createProbeSchedule';
import { membersOf } from './FabricDomainRecord';
import { publishClockReport } from './publishReport';
import type { ObservationLookup } from './evaluateGroup';

/** Runs the watcher over the fabric domains that this daemon watches. */
export interface WatchLoop {
  /** Probes the domains that are due and schedules their reports. Call it every `watchTickMs`. */
  readonly tick: () => void;
  readonly stop: () => void;
}

/** Dependencies of the watch loop. */
export interface WatchLoopOptions {
  readonly clock: clock.Clock;
  readonly messageBus: peers.MessageBus;
  readonly prober: Prober;
  readonly observe: ObservationLookup;
  /** Identifies this run of the daemon. */
  readonly sender: string;
  readonly view: FleetView;
  readonly records: RecordCache;
  readonly evidence: EvidenceStore;
  readonly roles: DaemonRoles;
  readonly fabricDomains: () => readonly string[];
  readonly onOwnReport: PresenceReceiver['onOwnReport'];
}

export const watchTickMs = 100;
const probeIntervalMs = 600;
const publishAfterProbeMs = 120;
/**
 * The evidence age at which the secondary watcher starts to probe, while enough of the evidence
 * window is left.
 */
const secondaryProbeAgeMs = 900;

/** Creates the watch loop of a daemon. */
export const createWatchLoop = (options: WatchLoopOptions): WatchLoop => {
  const { clock, prober, view, records, evidence, roles: daemonRoles } = options;
  const timers = new Set<NodeJS.Timeout>();

  const watcher = createWatcher({
    clock,
    messageBus: options.messageBus,
    observe: options.observe,
    prober,
    sender: options.sender,
    listed: view.listed,
    record: records.get,
    isCoveredByPrimary: daemonRoles.isCoveredByPrimary,
    onOwnReport: options.onOwnReport,
  });
  prober.onObservation(watcher.onObservation);

  /**
   * Whether the primary watcher is silent, or a loaded group lacks recent evidence or has a leaving
   * member.
   */
  const isSecondaryNeeded = (fabricDomain: string): boolean => {
    if (!daemonRoles.hasPrimaryReported(fabricDomain, secondaryProbeAgeMs)) return true;
    const nowMs = clock.monotonicMs();
    const { record } = records.get(fabricDomain);
    return Object.entries(record.groups)
      .filter(([, { phase }]) => watchedPhases.has(phase))
      .some(([groupId, { generation }]) => {
        const group = { groupId, generation };
        const isRecent = evidence.ageMs(group, nowMs) < secondaryProbeAgeMs;
        if (!isRecent || !evidence.isFresh(group, nowMs)) return true;
        return membersOf(record, groupId).some((member) => view.isListedLeaving(member.instanceId));
      });
  };

  const probeSchedule = createProbeSchedule({
    clock,
    watched: () => options.fabricDomains().filter(daemonRoles.isWatcher),
    isPrimary: daemonRoles.isController,
    needsSecondary: isSecondaryNeeded,
    versionOf: (fabricDomain) => records.get(fabricDomain).version,
    intervalMs: probeIntervalMs,
    tickMs: watchTickMs,
  });

  let previouslyActive: readonly string[] = [];
  const publishClockOnStart = (active: readonly string[]) => {
    const hasNewDomain = active.some((name) => !previouslyActive.includes(name));
    previouslyActive = active;
    if (hasNewDomain) publishClockReport(options.messageBus, options.sender, clock.monotonicMs());
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
      const { due, active } = probeSchedule.next();
      publishClockOnStart(active);
      watcher.probe(due, active);
      if (due.length > 0) publishLater(due);
    },
    stop: () => timers.forEach((timer) => clearTimeout(timer)),
  };
};
