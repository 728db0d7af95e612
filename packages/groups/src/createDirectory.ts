import type * as clock from '@comfreydrum/clock';
import type * as telemetry from '@comfreydrum/telemetry';
import type { EvidenceStore, GroupGeneration } from './createEvidenceStore';
import type { VersionedRecord } from './createRecordCache';
import { membersOf, type GroupPhase } from './FabricDomainRecord';
import type { GroupDirectory, ServingGroup } from './GroupDirectory';
import type { PresenceReport } from './PresenceReport';

/** A group directory that is updated from records and presence reports. */
export interface UpdatableDirectory extends GroupDirectory {
  /** Applies the records of all fabric domains after a change. */
  readonly onRecords: (records: ReadonlyMap<string, VersionedRecord>) => void;
  /**
   * Applies a presence report that was published at least `elapsedMs` ago. `delayMs` is the
   * estimated delivery delay, Infinity if unknown. Complete groups are dated back by the larger of
   * the two, so that evidence never seems too recent. Losses are dated back by `elapsedMs` only, so
   * that a loss is never dated too early.
   */
  readonly onReport: (report: PresenceReport, elapsedMs: number, delayMs: number) => void;
  readonly groups: () => readonly KnownGroup[];
}

/** A group in any phase, as stored in the records of the fabric domains. */
export interface KnownGroup extends ServingGroup {
  readonly phase: GroupPhase;
  readonly fabricDomain: string;
}

/** Dependencies of the directory, and the listener for losses seen while serving requests. */
export interface DirectoryOptions {
  readonly clock: clock.Clock;
  readonly timeline: telemetry.Timeline;
  readonly evidence: EvidenceStore;
  readonly onReportedLoss: (group: KnownGroup) => void;
}

type BrokenListener = Parameters<GroupDirectory['onBroken']>[0];

const knownGroups = (records: ReadonlyMap<string, VersionedRecord>): readonly KnownGroup[] =>
  [...records].flatMap(([fabricDomain, { record }]) =>
    Object.entries(record.groups).map(([groupId, group]) => ({
      groupId,
      team: group.team,
      modelName: group.modelName,
      modelVersion: group.modelVersion,
      adapters: group.adapters,
      generation: group.generation,
      maxConcurrent: group.maxConcurrent,
      phase: group.phase,
      fabricDomain,
      members: membersOf(record, groupId).map((member) => ({
        instanceId: member.instanceId,
        url: member.url,
        failureDomain: member.failureDomain,
        fabricDomain,
        rank: member.rank,
      })),
    })),
  );

/** How long a report that a member is leaving overrides watchers that do not know of it yet. */
const leavingOverrideMs = 1_500;

const hasServed = ({ phase }: KnownGroup) => phase === 'serving' || phase === 'draining';

/** Creates the directory of the groups that accept requests. */
export const createDirectory = (options: DirectoryOptions): UpdatableDirectory => {
  const { clock, timeline, evidence } = options;
  let groups: readonly KnownGroup[] = [];
  let byId = new Map<string, KnownGroup>();
  const listeners = new Set<BrokenListener>();
  const notifiedBroken = new Set<string>();

  const isServing = (group: KnownGroup | undefined, generation: number): boolean =>
    group?.phase === 'serving' &&
    group.generation === generation &&
    evidence.isFresh(group, clock.monotonicMs());

  const notifyBroken = ({ groupId, generation }: GroupGeneration, reason: string) => {
    const key = `${groupId}@${generation}`;
    if (notifiedBroken.has(key)) return;
    notifiedBroken.add(key);
    timeline.record('group broken', { groupId, generation, outcome: reason });
    listeners.forEach((listener) => listener(groupId, generation, reason));
  };

  const findServed = (groupId: string, generation: number): KnownGroup | undefined => {
    const group = byId.get(groupId);
    return group && group.generation === generation && hasServed(group) ? group : undefined;
  };

  const recordLoss = (group: KnownGroup, lostAtMs: number, reason: string) => {
    if (reason === 'leaving') evidence.addLoss(group, clock.monotonicMs() + leavingOverrideMs);
    else if (reason !== 'silent') evidence.addLoss(group, lostAtMs);
    const isStopped = !evidence.isFresh(group, clock.monotonicMs());
    if (isStopped && reason !== 'leaving') notifyBroken(group, reason);
  };

  const applyRecords = (records: ReadonlyMap<string, VersionedRecord>) => {
    const before = groups;
    groups = knownGroups(records);
    byId = new Map(groups.map((group) => [group.groupId, group]));
    evidence.retain(groups);
    before.filter(hasServed).forEach((group) => {
      const now = byId.get(group.groupId);
      const isStillServed = now?.generation === group.generation && hasServed(now);
      if (!isStillServed) notifyBroken(group, now?.phase ?? 'released');
    });
    const present = new Set(groups.map(({ groupId, generation }) => `${groupId}@${generation}`));
    [...notifiedBroken]
      .filter((key) => !present.has(key))
      .forEach((key) => notifiedBroken.delete(key));
  };

  const applyReport = (report: PresenceReport, elapsedMs: number, delayMs: number) => {
    const nowMs = clock.monotonicMs();
    report.present.forEach(([groupId, generation, ageMs]) => {
      if (byId.get(groupId)?.generation !== generation) return;
      evidence.addPresent({ groupId, generation }, nowMs - ageMs - Math.max(elapsedMs, delayMs));
      if (evidence.isFresh({ groupId, generation }, nowMs)) {
        notifiedBroken.delete(`${groupId}@${generation}`);
      }
    });
    report.lost.forEach(([groupId, generation, ageMs, reason]) => {
      const group = findServed(groupId, generation);
      if (group) recordLoss(group, nowMs - ageMs - elapsedMs, reason);
    });
  };

  return {
    serving: (team, modelName) =>
      groups.filter(
        (group) =>
          group.team === team &&
          group.modelName === modelName &&
          isServing(group, group.generation),
      ),
    maySend: (groupId, generation) => isServing(byId.get(groupId), generation),
    reportLoss: (groupId, generation, reason) => {
      const group = findServed(groupId, generation);
      if (!group) return;
      recordLoss(group, clock.monotonicMs(), reason);
      options.onReportedLoss(group);
    },
    onBroken: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    onRecords: applyRecords,
    onReport: applyReport,
    groups: () => groups,
  };
};
