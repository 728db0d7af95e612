import type * as clocks from '@comfreydrum/clock';
import type * as lifecycle from '@comfreydrum/lifecycle';

/** Checks streams in progress for silence, all by one timer. */
export interface SilenceWatch {
  /** Calls `check` at every tick until the result is called. */
  readonly add: (check: (nowMs: number) => void) => () => void;
  readonly part: lifecycle.Part;
}

const tickMs = 25;
/** After a tick this late, the process itself stood still and the silence may be its own. */
const lateTickMs = 75;

/** Creates a watch over no streams. */
export const createSilenceWatch = (clock: clocks.Clock): SilenceWatch => {
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
    part: {
      name: 'silence watch',
      start: () => {
        lastTickAtMs = clock.monotonicMs();
        timer = setInterval(tick, tickMs);
      },
      stop: () => clearInterval(timer),
    },
  };
};
