import { isDeepStrictEqual } from 'node:util';
import type * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import type * as telemetry from '@comfreydrum/telemetry';

/** Bounds on the requests to a cold target in one second, from all daemons together. */
export interface ColdBounds {
  /** As a multiple of the rate that the target bears. */
  readonly overshoot: number;
  readonly slack: number;
}

/** The requests that a cold target may get from all daemons together. */
export interface ColdRate {
  readonly perSecond: number;
  /** The most that may be sent and arrive within one second. */
  readonly maxInSecond: number;
}

/** A time for which a target has said that it stays cold. */
export interface ColdObservation {
  readonly targetKey: string;
  readonly coldRemainingMs: number | undefined;
}

/** How a relay treats cold targets. */
export interface ColdTargetOptions {
  /** Undefined where the deployment names no bounds; then no target is treated as cold. */
  readonly bounds: ColdBounds | undefined;
  readonly targets: Pick<fleet.TargetList, 'all' | 'version' | 'ageMs'>;
  readonly services: () => ReadonlyMap<string, fleet.Service>;
  /** Returns until when a target is taken for cold whatever it says, on the monotonic clock. */
  readonly assumedColdUntilMs?:
    ((target: fleet.Target, coldStart: fleet.ColdStart) => number) | undefined;
}

/** Knows until when each run of a target is cold. */
export interface ColdTargets {
  /**
   * Returns what a cold target may get; undefined for any other. A target to which a connection failed at
   * `unreachedAtMs` may have started again, and counts as cold until the list would show it.
   */
  readonly rateOf: (targetKey: string, unreachedAtMs?: number) => ColdRate | undefined;
  readonly onAnswer: (observation: ColdObservation) => void;
  /** Returns the number of listed targets that are cold. */
  readonly count: () => number;
}

interface ListedRun {
  readonly target: fleet.Target;
  /** Until when the target is cold, by what it has said. */
  readonly untilMs: number;
}

/** Time from the start of a target until the store lists it. */
const registrationMs = 2_000;
const maxLoggedTargets = 8;
/** Part of the bound that the rate may take, where a deployment's bound is tight. */
const usableBoundFraction = 2 / 3;

/** Creates the knowledge of a daemon that has not read the list of targets yet. */
export const createColdTargets = (
  options: ColdTargetOptions & { readonly clock: clocks.Clock; readonly log: telemetry.Log },
): ColdTargets => {
  const { bounds, clock, log, targets } = options;
  let runs = new Map<string, ListedRun>();
  let readVersion: number | undefined;

  const reportCold = (changed: readonly ListedRun[]) => {
    if (changed.length === 0) return;
    const remainingMs = Math.max(...changed.map(({ untilMs }) => untilMs)) - clock.monotonicMs();
    const targetIds = changed.slice(0, maxLoggedTargets).map(({ target }) => target.id);
    log.info(
      { step: 'cold', count: changed.length, targetIds, remainingMs: Math.round(remainingMs) },
      'targets are cold',
    );
  };

  const coldStartOf = ({ serviceName }: fleet.Target) =>
    options.services().get(serviceName)?.coldStart;

  /** Returns the end of the cold time that an entry names, counted from when it was first seen. */
  const listedUntilMs = (target: fleet.Target, known: ListedRun | undefined): number => {
    const { coldRemainingMs } = target;
    // An entry without a cold time may be older than the one that named it.
    if (!coldRemainingMs) return known?.untilMs ?? -Infinity;
    // Lists from other daemons repeat entries that were written long ago.
    if (known !== undefined && isDeepStrictEqual(known.target, target)) return known.untilMs;
    return clock.monotonicMs() + coldRemainingMs;
  };

  const readList = () => {
    if (readVersion === targets.version()) return;
    readVersion = targets.version();
    const nowMs = clock.monotonicMs();
    const changed: ListedRun[] = [];
    const listed = [...targets.all().values()].map((target): [string, ListedRun] => {
      const key = fleet.runKeyOf(target);
      const known = runs.get(key);
      const untilMs = listedUntilMs(target, known);
      const run = { target, untilMs };
      if (untilMs > Math.max(nowMs, known?.untilMs ?? -Infinity) && coldStartOf(target)) {
        changed.push(run);
      }
      return [key, run];
    });
    runs = new Map(listed);
    reportCold(changed);
  };

  const isCold = ({ target, untilMs }: ListedRun, coldStart: fleet.ColdStart): boolean => {
    const assumedUntilMs = options.assumedColdUntilMs?.(target, coldStart) ?? -Infinity;
    return Math.max(untilMs, assumedUntilMs) > clock.monotonicMs();
  };

  /** Reports whether a target that has started again since it wasn't reached may still be listed as it was. */
  const mayHaveRestarted = (unreachedAtMs: number, { durationMs }: fleet.ColdStart): boolean => {
    const nowMs = clock.monotonicMs();
    const isListOlder = nowMs - targets.ageMs() < unreachedAtMs + registrationMs;
    return isListOlder && nowMs - unreachedAtMs < registrationMs + durationMs;
  };

  const rateOf: ColdTargets['rateOf'] = (targetKey, unreachedAtMs = -Infinity) => {
    if (bounds === undefined) return undefined;
    readList();
    const run = runs.get(targetKey);
    const coldStart = run && coldStartOf(run.target);
    if (coldStart === undefined) return undefined;
    if (!isCold(run!, coldStart) && !mayHaveRestarted(unreachedAtMs, coldStart)) return undefined;
    const maxInSecond = coldStart.requestsPerSecond * bounds.overshoot + bounds.slack;
    const perSecond = Math.min(coldStart.requestsPerSecond, maxInSecond * usableBoundFraction);
    return { perSecond, maxInSecond };
  };

  return {
    rateOf,
    onAnswer: ({ targetKey, coldRemainingMs }) => {
      if (bounds === undefined || !coldRemainingMs) return;
      readList();
      const run = runs.get(targetKey);
      const coldStart = run && coldStartOf(run.target);
      if (coldStart === undefined) return;
      const wasCold = isCold(run!, coldStart);
      const heard = { target: run!.target, untilMs: clock.monotonicMs() + coldRemainingMs };
      runs.set(targetKey, heard);
      if (!wasCold) reportCold([heard]);
    },
    count: () => [...runs.keys()].filter((targetKey) => rateOf(targetKey) !== undefined).length,
  };
};
