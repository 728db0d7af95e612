import type * as clock from '@comfreydrum/clock';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import type { VersionedRecord } from './createRecordCache';
import type { Prober } from './createProber';
import { evaluateGroup, silentAfterMs, type ObservationLookup } from './evaluateGroup';
import type { LostGroup, PresenceReport, PresentGroup } from './PresenceReport';
import { publishReport } from './publishReport';

/** Probes the instances of the watched fabric domains and publishes presence reports. */
export interface Watcher {
  /**
   * Probes the instances of the `due` domains, and discards results outside the `active` domains.
   */
  readonly probe: (due: readonly string[], active: readonly string[]) => void;
  /** Publishes a report on each domain unless a recent report of the primary watcher covers it. */
  readonly publish: (fabricDomains: readonly string[]) => void;
  /**
   * Publishes a report immediately if a probe of the instance shows a loss or a departure not yet
   * published.
   */
  readonly onObservation: (instanceId: string) => void;
}

/** Dependencies of the watcher. */
export interface WatcherOptions {
  readonly clock: clock.Clock;
  readonly messageBus: peers.MessageBus;
  readonly observe: ObservationLookup;
  readonly prober: Prober;
  /** Identifies this run of the daemon. */
  readonly sender: string;
  readonly listed: () => readonly objectStore.ListedInstance[];
  readonly record: (fabricDomain: string) => VersionedRecord;
  /** Whether a recent report of the domain's primary watcher makes this one redundant. */
  readonly isCoveredByPrimary: (fabricDomain: string, report: PresenceReport) => boolean;
  /** Applies this daemon's own report when it is published. */
  readonly onOwnReport: (fabricDomain: string, report: PresenceReport) => void;
}

/** The phases in which a group has loaded, so that a missing member is a loss. */
export const watchedPhases: ReadonlySet<string> = new Set(['ready', 'serving', 'draining']);

/** Returns a key of the lost groups and leaving instances in a report. */
const lossKeyOf = ({ lost, leaving }: PresenceReport): string =>
  JSON.stringify([lost.map(([groupId, generation]) => [groupId, generation]), leaving]);

/** Creates the watcher of a daemon. */
export const createWatcher = (options: WatcherOptions): Watcher => {
  const { clock, prober } = options;
  let watched: readonly string[] = [];
  const publishedLosses = new Map<string, string>();

  const instancesOf = (fabricDomain: string): readonly { instanceId: string; url: string }[] => {
    const listed = options.listed().filter((entry) => entry.fabricDomain === fabricDomain);
    const { assignments } = options.record(fabricDomain).record;
    const unlisted = Object.entries(assignments)
      .filter(([instanceId]) => !listed.some((entry) => entry.instanceId === instanceId))
      .map(([instanceId, { url }]) => ({ instanceId, url }));
    return [...listed, ...unlisted];
  };

  const summarize = (fabricDomain: string): PresenceReport => {
    const nowMs = clock.monotonicMs();
    const { record } = options.record(fabricDomain);
    const present: PresentGroup[] = [];
    const lost: LostGroup[] = [];
    Object.entries(record.groups)
      .filter(([, { phase }]) => watchedPhases.has(phase))
      .forEach(([groupId, { generation }]) => {
        const presence = evaluateGroup(record, groupId, options.observe, nowMs);
        if (presence.kind === 'complete') {
          present.push([groupId, generation, Math.ceil(nowMs - presence.presentAtMs)]);
        }
        if (presence.kind === 'lost') {
          const ageMs = Math.floor(nowMs - presence.lostAtMs);
          lost.push([groupId, generation, ageMs, presence.reason]);
        }
      });
    const observed = instancesOf(fabricDomain).map(({ instanceId }) => ({
      instanceId,
      observation: options.observe(instanceId),
    }));
    const isAbsent = (failedSinceMs: number | undefined, gone: boolean) =>
      failedSinceMs !== undefined && (gone || nowMs - failedSinceMs >= silentAfterMs);
    const absent = observed
      .filter(
        ({ observation }) => observation && isAbsent(observation.failedSinceMs, observation.gone),
      )
      .map(({ instanceId }) => instanceId);
    const leaving = observed
      .filter(({ observation }) => observation?.response?.leaving)
      .map(({ instanceId }) => instanceId);
    return { sender: options.sender, sentAtMs: nowMs, present, lost, absent, leaving };
  };

  const publishAndApply = (fabricDomain: string, report: PresenceReport) => {
    publishedLosses.set(fabricDomain, lossKeyOf(report));
    publishReport(options.messageBus, fabricDomain, report);
    options.onOwnReport(fabricDomain, report);
  };

  return {
    probe: (due, active) => {
      watched = active;
      const kept = active.flatMap(instancesOf).map(({ instanceId }) => instanceId);
      prober.retain(new Set(kept));
      prober.probe(due.flatMap(instancesOf));
    },
    publish: (fabricDomains) =>
      fabricDomains.forEach((fabricDomain) => {
        const report = summarize(fabricDomain);
        if (!options.isCoveredByPrimary(fabricDomain, report))
          publishAndApply(fabricDomain, report);
      }),
    onObservation: (instanceId) => {
      const fabricDomain = watched.find((name) =>
        instancesOf(name).some((entry) => entry.instanceId === instanceId),
      );
      if (fabricDomain === undefined) return;
      const report = summarize(fabricDomain);
      const showsLoss = report.lost.length + report.leaving.length > 0;
      if (showsLoss && lossKeyOf(report) !== publishedLosses.get(fabricDomain))
        publishAndApply(fabricDomain, report);
    },
  };
};
