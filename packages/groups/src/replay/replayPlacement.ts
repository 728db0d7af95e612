import type { PlacementModel, PlacementPolicy } from '../placement/PlacementPolicy';
import { createReplayFleet } from './createReplayFleet';
import type { Trace } from './TraceEvent';

/** Parameters of a replay. */
export interface ReplayOptions {
  readonly models: readonly PlacementModel[];
  /** Models with more wanted groups than fit in the fleet; missing groups don't count as downtime. */
  readonly elasticModelKeys: readonly string[];
  /** Number of instances that the weight store serves at full rate. */
  readonly fullRateLoads: number;
  /** Time that a group takes to start after all its members have loaded. */
  readonly startMs: number;
  /** Time from which downtime and stranded hours are counted; the first groups form before it. */
  readonly warmUpMs: number;
}

/** Downtime and stranded capacity of a replay, and the work that the policy caused. */
export interface ReplayResult {
  readonly groupDowntimeHours: number;
  readonly downtimeHoursByModel: Readonly<Record<string, number>>;
  /** Accelerator-hours of present instances that belong to no wanted, serving group. */
  readonly strandedAcceleratorHours: number;
  readonly days: number;
  readonly loadedInstances: number;
  readonly decisions: number;
}

const msPerHour = 3_600_000;
const msPerDay = 24 * msPerHour;

/** Replays a trace in virtual time and applies the decisions of a policy to its fleet. */
export const replayPlacement = (
  trace: Trace,
  policy: PlacementPolicy,
  options: ReplayOptions,
): ReplayResult => {
  const fleet = createReplayFleet(trace, options);
  let nowMs = 0;
  let nextEventIndex = 0;
  const downtimeMs = new Map<string, number>();
  let strandedMs = 0;
  let decisions = 0;

  const advance = (toMs: number) => {
    const fromMs = Math.max(nowMs, options.warmUpMs);
    if (toMs > fromMs) {
      const { lackingGroups, strandedAccelerators } = fleet.measure();
      lackingGroups.forEach((count, modelKey) => {
        downtimeMs.set(modelKey, (downtimeMs.get(modelKey) ?? 0) + count * (toMs - fromMs));
      });
      strandedMs += strandedAccelerators * (toMs - fromMs);
    }
    nowMs = toMs;
  };

  const nextTimeMs = () => {
    const eventMs = trace.events[nextEventIndex]?.atMs ?? Infinity;
    const reconsiderAtMs = fleet.hasBrokenGroup() ? nowMs + policy.reconsiderMs : Infinity;
    return Math.min(eventMs, reconsiderAtMs, fleet.nextCompletionMs(nowMs), trace.durationMs);
  };

  const decide = () => {
    decisions += 1;
    policy.decide(fleet.state(nowMs)).forEach((action) => fleet.applyAction(action, nowMs));
  };

  decide();
  while (nowMs < trace.durationMs) {
    advance(nextTimeMs());
    while (trace.events[nextEventIndex] && trace.events[nextEventIndex]!.atMs <= nowMs) {
      fleet.applyEvent(trace.events[nextEventIndex]!);
      nextEventIndex += 1;
    }
    fleet.completeLoads(nowMs);
    decide();
  }
  const hoursByModel = [...downtimeMs].map(([modelKey, ms]) => [modelKey, ms / msPerHour] as const);
  return {
    groupDowntimeHours: hoursByModel.reduce((sum, [, hours]) => sum + hours, 0),
    downtimeHoursByModel: Object.fromEntries(hoursByModel),
    strandedAcceleratorHours: strandedMs / msPerHour,
    days: (trace.durationMs - options.warmUpMs) / msPerDay,
    loadedInstances: fleet.loadedInstances(),
    decisions,
  };
};
