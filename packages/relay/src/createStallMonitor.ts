import type * as clocks from '@comfreydrum/clock';
import type * as lifecycle from '@comfreydrum/lifecycle';

/** Runs the stall checks of all streams in progress on one timer. */
export interface StallMonitor {
  /** Registers `check` to be called at every tick; returns a function that removes it. */
  readonly add: (check: (nowMs: number) => void) => () => void;
  readonly component: lifecycle.Component;
}

const tickMs = 25;
/** Checks are skipped after a gap of more than this between ticks: the process itself was paused. */
const lateTickMs = 75;

export const createStallMonitor = (clock: clocks.Clock): StallMonitor => {
  const checks = new Set<(nowMs: number) => void>();
  let timer: NodeJS.Timeout | undefined;
  let lastTickAtMs = clock.monotonicMs();

  const tick = () => {
    const nowMs = clock.monotonicMs();
    const wasLate = nowMs - lastTickAtMs > lateTickMs;
    lastTickAtMs = nowMs;
    if (!wasLate) checks.forEach((check) => check(nowMs));
  };

  return {
    add: (check) => {
      checks.add(check);
      return () => {
        checks.delete(check);
      };
    },
    component: {
      name: 'stall monitor',
      start: () => {
        lastTickAtMs = clock.monotonicMs();
        timer = setInterval(tick, tickMs);
      },
      stop: () => clearInterval(timer),
    },
  };
};
