import * as fleet from '@comfreydrum/fleet';
import type { Candidate } from './chooseTarget';
import type { TargetTracker } from './createTargetTracker';
import type { WarmUps } from './createWarmUps';
import type { TargetLimits } from './limits/createTargetLimits';
import type { TargetSignals } from './signals/createTargetSignals';

/** Lists the targets that can take a request now. */
export interface TargetDirectory {
  /** Returns the heads of the complete groups that serve a model. */
  readonly groupHeads: (
    service: fleet.Service,
    modelName: string | undefined,
    nowMs: number,
  ) => readonly Candidate[];
  /** Returns the live targets of a service whose targets don't form groups. */
  readonly standaloneTargets: (service: fleet.Service, nowMs: number) => readonly Candidate[];
  /** Returns the heads and targets of a service that can take requests of any model. */
  readonly allTargets: (service: fleet.Service, nowMs: number) => readonly Candidate[];
  /** Reports whether a service has targets for a model, but all of them are in failure domains that are emptied. */
  readonly isEmptied: (service: fleet.Service, modelName: string | undefined) => boolean;
  /** Reports whether a run of a target is known to leave, or is no longer listed while no other run of it is. */
  readonly isLeaving: (candidate: Pick<Candidate, 'key' | 'targetId'>) => boolean;
  /** Returns the maximum time for which the list of targets may be out of date. */
  readonly ageMs: () => number;
}

export interface TargetDirectoryOptions {
  readonly targets: fleet.TargetList;
  readonly targetTracker: TargetTracker;
  readonly evacuations: fleet.Evacuations;
  readonly failureDomain: string;
  /** Returns the requests that the other daemons have in progress, by run of a target. */
  readonly otherLoads: () => Readonly<Record<string, number>>;
  readonly limits: Pick<TargetLimits, 'limitOf' | 'coldRateOf'>;
  readonly warmUps: WarmUps;
  readonly signals: Pick<TargetSignals, 'isLeaving' | 'pausedUntilMs'>;
}

/** Expected response time of a target outside of groups. */
const standaloneExpectedMs = 60;

const findModel = (service: fleet.Service, modelName: string) =>
  service.engine?.models.find(({ name }) => name === modelName);

/** Reports whether a group's head is open and all of its members are listed and live, so that it can serve. */
const isServing = (group: fleet.Group, service: fleet.Service): boolean => {
  const model = findModel(service, group.modelName);
  return (
    group.head?.serviceName === service.name &&
    group.head.membership.state === 'open' &&
    group.members.length === model?.groupSize &&
    group.members.every(({ state }) => state === 'live')
  );
};

/** Returns the expected time between two events of a stream in a half-full batch. */
const expectedGapMs = (engine: fleet.EngineProfile, model: fleet.ServedModel): number =>
  (engine.stepMs + (engine.stepMsPerRequest * engine.slotsPerGroup) / 2) *
  engine.stepsPerEvent *
  model.paceFactor;

/** Returns the lower one of two limits, each undefined without one. */
const lowerOf = (one: number | undefined, other: number | undefined): number | undefined =>
  one === undefined || other === undefined ? (one ?? other) : Math.min(one, other);

export const createTargetDirectory = (options: TargetDirectoryOptions): TargetDirectory => {
  const { targets, targetTracker, failureDomain, evacuations, limits, warmUps, signals } = options;
  let retainedVersion = -1;

  /** Removes the statistics of targets that are no longer listed. */
  const pruneUnlisted = () => {
    if (retainedVersion === targets.version()) return;
    retainedVersion = targets.version();
    targetTracker.retain(new Set([...targets.all().values()].map(fleet.runKeyOf)));
  };

  const toCandidate = (
    target: fleet.Target,
    facts: Pick<Candidate, 'groupKey' | 'slots' | 'expectedMs'>,
    otherLoads: Readonly<Record<string, number>>,
    nowMs: number,
  ): Candidate => {
    const key = fleet.runKeyOf(target);
    const warmUpRemaining = warmUps.remainingOf(key);
    const stats = targetTracker.read(key, nowMs);
    // The head of a group that has started again is in no group, so it takes no request.
    const unreachedAtMs = facts.groupKey === undefined ? stats.unreachedAtMs : undefined;
    const coldRate = limits.coldRateOf(key, unreachedAtMs);
    return {
      ...facts,
      key,
      targetId: target.id,
      startedAtMs: target.startedAtMs,
      failureDomain: target.failureDomain,
      address: target.address,
      otherInFlight: otherLoads[key] ?? 0,
      isSameDomain: target.failureDomain === failureDomain,
      stats,
      limitPerSecond: lowerOf(limits.limitOf(key), coldRate?.perSecond),
      coldMaxInSecond: coldRate?.maxInSecond,
      warmUpRemaining,
      pausedUntilMs: signals.pausedUntilMs(key),
    };
  };

  const isLeaving = (target: fleet.Target) => signals.isLeaving(fleet.runKeyOf(target));

  const mayReceive = (target: fleet.Target): boolean =>
    !isLeaving(target) && evacuations.mayReceive(target.failureDomain);

  const servingGroups = (service: fleet.Service, modelName: string | undefined) =>
    targets
      .groups()
      .filter(
        (group) =>
          (modelName === undefined || group.modelName === modelName) && isServing(group, service),
      );

  const liveTargets = (service: fleet.Service): readonly fleet.Target[] =>
    [...targets.all().values()].filter(
      ({ serviceName, state }) => serviceName === service.name && state === 'live',
    );

  const groupHeads: TargetDirectory['groupHeads'] = (service, modelName, nowMs) => {
    const { engine } = service;
    if (engine === undefined) return [];
    const otherLoads = options.otherLoads();
    pruneUnlisted();
    return servingGroups(service, modelName).flatMap((group) => {
      const model = findModel(service, group.modelName);
      if (model === undefined || !mayReceive(group.head!)) return [];
      const facts = {
        groupKey: group.key,
        slots: engine.slotsPerGroup,
        expectedMs: expectedGapMs(engine, model),
      };
      return [toCandidate(group.head!, facts, otherLoads, nowMs)];
    });
  };

  const standaloneTargets: TargetDirectory['standaloneTargets'] = (service, nowMs) => {
    pruneUnlisted();
    const otherLoads = options.otherLoads();
    return liveTargets(service)
      .filter(mayReceive)
      .map((target) =>
        toCandidate(
          target,
          { groupKey: undefined, slots: target.slots, expectedMs: standaloneExpectedMs },
          otherLoads,
          nowMs,
        ),
      );
  };

  return {
    ageMs: targets.ageMs,
    isLeaving: ({ key, targetId }) => {
      const listed = targets.all().get(targetId);
      if (listed === undefined || signals.isLeaving(key)) return true;
      return fleet.runKeyOf(listed) === key && listed.state === 'leaving';
    },
    groupHeads,
    standaloneTargets,
    allTargets: (service, nowMs) =>
      service.engine === undefined
        ? standaloneTargets(service, nowMs)
        : groupHeads(service, undefined, nowMs),
    isEmptied: (service, modelName) => {
      const all =
        service.engine === undefined
          ? liveTargets(service)
          : servingGroups(service, modelName).map(({ head }) => head!);
      return all.length > 0 && !all.some((target) => evacuations.mayReceive(target.failureDomain));
    },
  };
};
