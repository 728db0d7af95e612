import type {
  PlacementAction,
  PlacementGroup,
  PlacementInstance,
  PlacementModel,
  PlacementState,
} from '../placement/PlacementPolicy';
import { createWeightStore } from './createWeightStore';
import type { ReplayOptions } from './replayPlacement';
import type { Trace, TraceEvent } from './TraceEvent';

/** The instances and groups of a replay at its current virtual time. */
export interface ReplayFleet {
  readonly applyEvent: (event: TraceEvent) => void;
  readonly applyAction: (action: PlacementAction, nowMs: number) => void;
  readonly completeLoads: (nowMs: number) => void;
  readonly nextCompletionMs: (nowMs: number) => number;
  readonly hasBrokenGroup: () => boolean;
  readonly state: (nowMs: number) => PlacementState;
  readonly measure: () => ReplayMetrics;
  readonly loadedInstances: () => number;
}

/** Metrics of the fleet at one point in time. */
export interface ReplayMetrics {
  /** Number of wanted groups that do not serve, by model key. */
  readonly lackingGroups: ReadonlyMap<string, number>;
  readonly strandedAccelerators: number;
}

/** The weights that an instance holds in memory, identified by the group and rank they belong to. */
interface LoadedShard {
  readonly groupId: string;
  readonly rank: number;
}

interface ReplayGroup extends PlacementGroup {
  /** When the group starts to serve after its loads completed; undefined while it loads. */
  readonly startsAtMs?: number | undefined;
}

const recentAbsenceWindowMs = 86_400_000;

/** Creates the fleet of a trace, with all instances present and no groups. */
export const createReplayFleet = (trace: Trace, options: ReplayOptions): ReplayFleet => {
  const models = new Map(options.models.map((model) => [model.modelKey, model]));
  const elasticModelKeys = new Set(options.elasticModelKeys);
  const instances = new Map<string, PlacementInstance>(
    trace.instances.map((instance) => [
      instance.instanceId,
      { ...instance, state: 'present', recentAbsences: 0 },
    ]),
  );
  const acceleratorsPerInstance = trace.instances[0]?.acceleratorCount ?? 0;
  const absenceTimesMs = new Map<string, readonly number[]>();
  const loaded = new Map<string, LoadedShard>();
  const groups = new Map<string, ReplayGroup>();
  const groupIdByInstance = new Map<string, string>();
  const pendingLoads = new Map<string, Set<string>>();
  const store = createWeightStore(options.fullRateLoads);
  let presentCount = trace.instances.length;
  let groupCount = 0;
  let loadedInstances = 0;

  const isPresent = (instanceId: string) => instances.get(instanceId)!.state === 'present';

  const isFullyLoaded = ({ groupId, memberIds }: PlacementGroup) =>
    memberIds.every((instanceId, rank) => {
      const held = loaded.get(instanceId);
      return isPresent(instanceId) && held?.groupId === groupId && held.rank === rank;
    });

  const setPhase = (groupId: string, phase: PlacementGroup['phase']) =>
    groups.set(groupId, { ...groups.get(groupId)!, phase, startsAtMs: undefined });

  const cancelLoads = (groupId: string, nowMs: number) => {
    pendingLoads.get(groupId)?.forEach((instanceId) => store.cancel(instanceId, nowMs));
    pendingLoads.delete(groupId);
  };

  const startLoads = (groupId: string, model: PlacementModel, nowMs: number) => {
    const { memberIds } = groups.get(groupId)!;
    const toLoad = memberIds.filter((instanceId, rank) => {
      const held = loaded.get(instanceId);
      return held?.groupId !== groupId || held.rank !== rank;
    });
    toLoad.forEach((instanceId) => {
      loaded.delete(instanceId);
      store.start(instanceId, model.loadTimeMs, nowMs);
    });
    loadedInstances += toLoad.length;
    pendingLoads.set(groupId, new Set(toLoad));
    const startsAtMs = toLoad.length === 0 ? nowMs + options.startMs : undefined;
    groups.set(groupId, { ...groups.get(groupId)!, phase: 'loading', startsAtMs });
  };

  const release = (groupId: string, nowMs: number) => {
    cancelLoads(groupId, nowMs);
    groups.get(groupId)?.memberIds.forEach((instanceId) => {
      groupIdByInstance.delete(instanceId);
      loaded.delete(instanceId);
    });
    groups.delete(groupId);
  };

  const place = (group: PlacementGroup, nowMs: number) => {
    const { groupId, memberIds, modelKey } = group;
    const hasUnavailableMember = memberIds.some(
      (instanceId) =>
        !isPresent(instanceId) || (groupIdByInstance.get(instanceId) ?? groupId) !== groupId,
    );
    if (hasUnavailableMember)
      throw new Error(
        `replay group ${groupId}: the policy assigned an instance that is absent or in another group`,
      );
    groups.get(groupId)?.memberIds.forEach((instanceId) => groupIdByInstance.delete(instanceId));
    memberIds.forEach((instanceId) => groupIdByInstance.set(instanceId, groupId));
    cancelLoads(groupId, nowMs);
    groups.set(groupId, group);
    startLoads(groupId, models.get(modelKey)!, nowMs);
  };

  const form = (action: Extract<PlacementAction, { kind: 'form' }>, nowMs: number) => {
    groupCount += 1;
    const { modelKey, fabricDomain, instanceIds } = action;
    const { version } = models.get(modelKey)!;
    const groupId = `g${groupCount}`;
    place(
      { groupId, modelKey, version, fabricDomain, phase: 'loading', memberIds: instanceIds },
      nowMs,
    );
  };

  const markAbsent = (instanceId: string, atMs: number) => {
    const recent = (absenceTimesMs.get(instanceId) ?? []).filter(
      (beganAtMs) => atMs - beganAtMs < recentAbsenceWindowMs,
    );
    absenceTimesMs.set(instanceId, [...recent, atMs]);
    instances.set(instanceId, {
      ...instances.get(instanceId)!,
      state: 'absent',
      absentSinceMs: atMs,
      recentAbsences: recent.length + 1,
    });
    presentCount -= 1;
    const groupId = groupIdByInstance.get(instanceId);
    if (groupId === undefined) return;
    cancelLoads(groupId, atMs);
    setPhase(groupId, 'broken');
  };

  const markPresent = (instanceId: string, keepsMemory: boolean) => {
    const { absentSinceMs, ...known } = instances.get(instanceId)!;
    instances.set(instanceId, { ...known, state: 'present' });
    presentCount += 1;
    if (!keepsMemory) loaded.delete(instanceId);
    const group = groups.get(groupIdByInstance.get(instanceId) ?? '');
    if (group?.phase === 'broken' && isFullyLoaded(group)) setPhase(group.groupId, 'serving');
  };

  return {
    applyEvent: ({ kind, instanceId, atMs }) => {
      if (kind === 'down') markAbsent(instanceId, atMs);
      else markPresent(instanceId, kind === 'resumed');
    },
    applyAction: (action, nowMs) => {
      if (action.kind === 'form') form(action, nowMs);
      else if (action.kind !== 'repair') release(action.groupId, nowMs);
      else {
        const group = groups.get(action.groupId);
        if (group) place({ ...group, memberIds: action.instanceIds }, nowMs);
      }
    },
    completeLoads: (nowMs) => {
      store.takeCompleted(nowMs).forEach((instanceId) => {
        const groupId = groupIdByInstance.get(instanceId)!;
        const group = groups.get(groupId)!;
        loaded.set(instanceId, { groupId, rank: group.memberIds.indexOf(instanceId) });
        const pendingIds = pendingLoads.get(groupId)!;
        pendingIds.delete(instanceId);
        if (pendingIds.size === 0)
          groups.set(groupId, { ...group, startsAtMs: nowMs + options.startMs });
      });
      groups.forEach(({ groupId, startsAtMs }) => {
        if (startsAtMs !== undefined && startsAtMs <= nowMs) setPhase(groupId, 'serving');
      });
    },
    nextCompletionMs: (nowMs) => {
      let completionMs = store.nextCompletionMs(nowMs);
      groups.forEach(({ startsAtMs }) => {
        if (startsAtMs !== undefined) completionMs = Math.min(completionMs, startsAtMs);
      });
      return completionMs;
    },
    hasBrokenGroup: () => [...groups.values()].some(({ phase }) => phase === 'broken'),
    state: (nowMs) => ({
      nowMs,
      models: options.models,
      instances: [...instances.values()],
      groups: [...groups.values()],
    }),
    measure: () => {
      const serving = new Map<string, number>();
      groups.forEach(({ modelKey, phase }) => {
        if (phase === 'serving') serving.set(modelKey, (serving.get(modelKey) ?? 0) + 1);
      });
      const lackingGroups = new Map<string, number>();
      let usedInstances = 0;
      options.models.forEach(({ modelKey, groupCount: wanted, instancesPerGroup }) => {
        const servingCount = Math.min(wanted, serving.get(modelKey) ?? 0);
        usedInstances += servingCount * instancesPerGroup;
        if (!elasticModelKeys.has(modelKey)) lackingGroups.set(modelKey, wanted - servingCount);
      });
      const strandedAccelerators = (presentCount - usedInstances) * acceleratorsPerInstance;
      return { lackingGroups, strandedAccelerators };
    },
    loadedInstances: () => loadedInstances,
  };
};
