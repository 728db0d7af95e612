import type * as routing from '@comfreydrum/routing';

/**
 * Tracks the generations of service instances. Each loss of an instance starts a new generation, so that a
 * restarted process is distinguished from the lost one.
 */
export interface ServiceGenerations {
  readonly of: (instanceId: string) => number;
  /** Records a loss that this daemon detected or was notified of. */
  readonly onLost: (target: routing.CrashTarget) => void;
}

const maxInstances = 2_048;

/** Creates a tracker in which every instance starts at generation 0. */
export const createServiceGenerations = (): ServiceGenerations => {
  const generations = new Map<string, number>();
  const of = (instanceId: string) => generations.get(instanceId) ?? 0;
  return {
    of,
    onLost: ({ targetId, generation }) => {
      const next = Math.max(of(targetId), generation + 1);
      generations.delete(targetId);
      generations.set(targetId, next);
      if (generations.size <= maxInstances) return;
      const [oldest] = generations.keys();
      generations.delete(oldest!);
    },
  };
};
