import type * as clock from '@comfreydrum/clock';
import type * as configuration from '@comfreydrum/configuration';
import type * as objectStore from '@comfreydrum/object-store';
import type { ModelPlan } from './advanceDomain';
import type { KnownGroup } from './createDirectory';
import { loadedVersionKey } from './FabricDomainRecord';
import type {
  PlacementInstance,
  PlacementModel,
  PlacementState,
} from './placement/PlacementPolicy';
import type { PresenceReport } from './PresenceReport';

/** The instances as known to this daemon from the platform's target list and presence reports. */
export interface FleetView {
  readonly setListed: (listed: readonly objectStore.ListedInstance[]) => void;
  readonly listed: () => readonly objectStore.ListedInstance[];
  /** Applies a watcher's report on a fabric domain. */
  readonly onReport: (fabricDomain: string, report: PresenceReport) => void;
  /** Whether the platform's target list marks an instance as leaving. */
  readonly isListedLeaving: (instanceId: string) => boolean;
  /** Returns the state of an instance, based on the target list and recent presence reports. */
  readonly stateOf: (instance: objectStore.ListedInstance) => PlacementInstance['state'];
  readonly placementState: (groups: readonly KnownGroup[]) => PlacementState;
  readonly modelPlans: () => ReadonlyMap<string, ModelPlan>;
}

interface Absence {
  readonly sinceMs?: number | undefined;
  /** When the recent absences began. */
  readonly beganAtMs: readonly number[];
}

const recentAbsenceMs = 86_400_000;
const reportLifetimeMs = 3_000;

const modelsOf = (store: configuration.ConfigurationStore) =>
  store.current().flatMap(({ team, models }) => models.map((model) => ({ team, model })));

/** Creates a view without instances. */
export const createFleetView = (
  clock: clock.Clock,
  store: configuration.ConfigurationStore,
): FleetView => {
  let listed: readonly objectStore.ListedInstance[] = [];
  const reports = new Map<string, { readonly report: PresenceReport; readonly atMs: number }>();
  const reportedLeavingAtMs = new Map<string, number>();
  let listedLeaving: ReadonlySet<string> = new Set();
  const absences = new Map<string, Absence>();

  const freshReport = (fabricDomain: string): PresenceReport | undefined => {
    const known = reports.get(fabricDomain);
    return known && clock.monotonicMs() - known.atMs < reportLifetimeMs ? known.report : undefined;
  };

  const recordAbsences = (fabricDomain: string, report: PresenceReport) => {
    const nowMs = clock.monotonicMs();
    const absent = new Set(report.absent);
    listed
      .filter((instance) => instance.fabricDomain === fabricDomain)
      .forEach(({ instanceId }) => {
        const known = absences.get(instanceId);
        if (!absent.has(instanceId)) {
          if (known) absences.set(instanceId, { beganAtMs: known.beganAtMs });
          return;
        }
        if (known?.sinceMs !== undefined) return;
        const recent = (known?.beganAtMs ?? []).filter((atMs) => nowMs - atMs < recentAbsenceMs);
        absences.set(instanceId, { sinceMs: nowMs, beganAtMs: [...recent, nowMs] });
      });
  };

  const evaluateState: FleetView['stateOf'] = ({ instanceId, fabricDomain, state }) => {
    const report = freshReport(fabricDomain);
    if (report?.absent.includes(instanceId)) return 'absent';
    const reportedAtMs = reportedLeavingAtMs.get(instanceId) ?? -Infinity;
    const isReportedLeaving = clock.monotonicMs() - reportedAtMs < reportLifetimeMs;
    return state === 'leaving' || isReportedLeaving ? 'leaving' : 'present';
  };

  const placementInstance = (instance: objectStore.ListedInstance): PlacementInstance => {
    const absence = absences.get(instance.instanceId);
    const { instanceId, targetKind, fabricDomain, failureDomain, acceleratorCount } = instance;
    return {
      instanceId,
      targetKind,
      fabricDomain,
      failureDomain,
      acceleratorCount,
      state: evaluateState(instance),
      absentSinceMs: absence?.sinceMs,
      recentAbsences: absence?.beganAtMs.length ?? 0,
    };
  };

  const placementModel = (team: string, model: configuration.Model): PlacementModel => ({
    modelKey: `${team}/${model.name}`,
    version: loadedVersionKey({ modelVersion: model.version, adapters: model.adapters }),
    targetKind: model.targetKind,
    groupCount: model.groups,
    instancesPerGroup: model.instancesPerGroup,
    failureDomains: model.failureDomains,
    value: model.value,
    loadTimeMs: model.loadTimeMs,
    downtimeWeight: model.placement.downtimeWeight,
    strandedWeight: model.placement.strandedWeight,
  });

  return {
    setListed: (instances) => {
      listed = instances;
      listedLeaving = new Set(
        instances.filter(({ state }) => state === 'leaving').map(({ instanceId }) => instanceId),
      );
    },
    listed: () => listed,
    onReport: (fabricDomain, report) => {
      const nowMs = clock.monotonicMs();
      reports.set(fabricDomain, { report, atMs: nowMs });
      report.leaving.forEach((instanceId) => reportedLeavingAtMs.set(instanceId, nowMs));
      recordAbsences(fabricDomain, report);
    },
    isListedLeaving: (instanceId) => listedLeaving.has(instanceId),
    stateOf: evaluateState,
    placementState: (groups) => ({
      nowMs: clock.monotonicMs(),
      models: modelsOf(store).map(({ team, model }) => placementModel(team, model)),
      instances: listed.map(placementInstance),
      groups: groups.map((group) => ({
        groupId: group.groupId,
        modelKey: `${group.team}/${group.modelName}`,
        version: loadedVersionKey(group),
        fabricDomain: group.fabricDomain,
        phase: group.phase,
        memberIds: group.members.map(({ instanceId }) => instanceId),
      })),
    }),
    modelPlans: () =>
      new Map(
        modelsOf(store).map(({ team, model }) => [
          `${team}/${model.name}`,
          {
            team,
            modelName: model.name,
            modelVersion: model.version,
            adapters: model.adapters,
            targetKind: model.targetKind,
            maxConcurrent: model.maxConcurrentPerGroup,
            loadTimeMs: model.loadTimeMs,
          },
        ]),
      ),
  };
};
