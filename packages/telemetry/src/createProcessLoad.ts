import type * as clocks from '@comfreydrum/clock';

/** What the process was busy with since the last reading. */
export interface LoadReading {
  readonly processorMs: number;
  /** The longest time by which a tick was late, since the event loop served something else. */
  readonly longestStallMs: number;
}

/** Measures how busy the process is. */
export interface ProcessLoad {
  /** Called by a timer of the owner; one of its own would wake idle daemons. */
  readonly tick: () => void;
  /** Returns the load since the last reading, and starts the next one. */
  readonly read: () => LoadReading;
}

const microsecondsPerMs = 1_000;

/** Creates a measurement of a process that ticks every `intervalMs`. */
export const createProcessLoad = (clock: clocks.Clock, intervalMs: number): ProcessLoad => {
  let usage = process.cpuUsage();
  let longestStallMs = 0;
  let dueAtMs = Infinity;

  return {
    tick: () => {
      const nowMs = clock.monotonicMs();
      longestStallMs = Math.max(longestStallMs, nowMs - dueAtMs);
      dueAtMs = nowMs + intervalMs;
    },
    read: () => {
      const { user, system } = process.cpuUsage(usage);
      const reading = {
        processorMs: Math.round((user + system) / microsecondsPerMs),
        longestStallMs: Math.round(longestStallMs),
      };
      usage = process.cpuUsage();
      longestStallMs = 0;
      return reading;
    },
  };
};
