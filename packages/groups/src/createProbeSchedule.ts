import type * as clock from '@comfreydrum/clock';

/** Schedules which of the watched fabric domains this daemon probes, and when. */
export interface ProbeSchedule {
  /** Returns the domains to probe now, and all domains that this daemon currently probes. */
  readonly next: () => { readonly due: readonly string[]; readonly active: readonly string[] };
}

/** Dependencies and settings of the probe schedule. */
export interface ProbeScheduleOptions {
  readonly clock: clock.Clock;
  /** The domains that this daemon watches, as primary or secondary. */
  readonly watched: () => readonly string[];
  readonly isPrimary: (fabricDomain: string) => boolean;
  /** Whether the evidence from other watchers on a domain no longer suffices. */
  readonly needsSecondary: (fabricDomain: string) => boolean;
  /** Returns the version of the domain's record. A change of it makes a round due early. */
  readonly versionOf: (fabricDomain: string) => number;
  readonly intervalMs: number;
  /** The interval at which `next` is called. */
  readonly tickMs: number;
}

/** The minimum time between rounds when the record changes. */
const minRoundIntervalMs = 200;

/** How long the secondary watcher continues to probe once it was needed. */
const secondaryProbeDurationMs = 5_000;

/**
 * Creates a schedule in which the primary watcher always probes and the secondary only when needed.
 */
export const createProbeSchedule = (options: ProbeScheduleOptions): ProbeSchedule => {
  const { clock, intervalMs, tickMs } = options;
  const secondaryUntilMs = new Map<string, number>();
  const rounds = new Map<string, { readonly atMs: number; readonly version: number }>();

  const isSecondaryNeeded = (fabricDomain: string, nowMs: number): boolean => {
    if (options.needsSecondary(fabricDomain))
      secondaryUntilMs.set(fabricDomain, nowMs + secondaryProbeDurationMs);
    return nowMs < (secondaryUntilMs.get(fabricDomain) ?? -Infinity);
  };

  /**
   * A round is due soon after the record changes. A response from before the change shows members in
   * their old group, which a competing controller would treat as a loss.
   */
  const isDue = (fabricDomain: string, nowMs: number): boolean => {
    const last = rounds.get(fabricDomain);
    if (!last) return true;
    const sinceMs = nowMs - last.atMs;
    if (sinceMs >= minRoundIntervalMs && last.version !== options.versionOf(fabricDomain))
      return true;
    // The tolerance keeps a tick that fires slightly early from delaying the round by another tick.
    return sinceMs >= intervalMs - tickMs / 2;
  };

  const discardOthers = (watched: readonly string[]) =>
    [secondaryUntilMs, rounds].forEach((times) =>
      [...times.keys()]
        .filter((name) => !watched.includes(name))
        .forEach((name) => times.delete(name)),
    );

  return {
    next: () => {
      const nowMs = clock.monotonicMs();
      const watched = options.watched();
      const active = watched.filter(
        (name) => options.isPrimary(name) || isSecondaryNeeded(name, nowMs),
      );
      const due = active.filter((name) => isDue(name, nowMs));
      due.forEach((name) => rounds.set(name, { atMs: nowMs, version: options.versionOf(name) }));
      discardOthers(watched);
      return { due, active };
    },
  };
};
