import type { Clock } from './Clock';

/**
 * A hybrid logical timestamp: wall-clock milliseconds, and a counter for events of the same
 * millisecond.
 */
export interface HybridTime {
  readonly wallMs: number;
  readonly counter: number;
}

/**
 * Timestamps events so that an event is ordered after the events that caused it, across processes.
 */
export interface HybridClock {
  /** Returns the timestamp of a local event or an outgoing message. */
  readonly tick: () => HybridTime;
  /** Merges the timestamp of a received message and returns the timestamp of its receipt. */
  readonly receive: (remote: HybridTime) => HybridTime;
}

/** Compares two hybrid timestamps; the result is negative when `left` is earlier. */
export const compareHybridTimes = (left: HybridTime, right: HybridTime): number =>
  left.wallMs - right.wallMs || left.counter - right.counter;

/** Creates a hybrid logical clock based on the wall clock of `clock`. */
export const createHybridClock = (clock: Clock): HybridClock => {
  let last: HybridTime = { wallMs: 0, counter: 0 };

  const advance = (remote: HybridTime): HybridTime => {
    const wallMs = Math.max(Math.floor(clock.wallMs()), last.wallMs, remote.wallMs);
    const counters = [last, remote].filter((time) => time.wallMs === wallMs);
    const counter = Math.max(-1, ...counters.map((time) => time.counter)) + 1;
    last = { wallMs, counter };
    return last;
  };

  return { tick: () => advance(last), receive: advance };
};
