import type * as clocks from '@comfreydrum/clock';

/** Finds out whether the targets of a service are still registering after a start. */
export interface RegistrationWatch {
  /** Records the listed targets and reports whether more are likely to register. */
  readonly observe: (serviceName: string, targetCount: number) => boolean;
}

/** Registration is taken as complete once no target has been added for this long. */
const settledMs = 700;

interface Growth {
  readonly targetCount: number;
  readonly atMs: number;
}

/** Creates a watch that knows no targets. */
export const createRegistrationWatch = (clock: clocks.Clock): RegistrationWatch => {
  const growthByService = new Map<string, Growth>();

  return {
    observe: (serviceName, targetCount) => {
      const nowMs = clock.monotonicMs();
      const growth = growthByService.get(serviceName);
      if (growth === undefined || targetCount > growth.targetCount) {
        growthByService.set(serviceName, { targetCount, atMs: nowMs });
        return true;
      }
      return nowMs - growth.atMs < settledMs;
    },
  };
};
