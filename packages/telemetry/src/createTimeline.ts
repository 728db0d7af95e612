import type * as clock from '@comfreydrum/clock';

/** The details of an event; only the applicable fields are set. */
export interface TimelineDetail {
  readonly peer?: string;
  readonly requestId?: string;
  readonly groupId?: string;
  readonly generation?: number;
  readonly revision?: number;
  readonly durationMs?: number;
  readonly outcome?: string;
  readonly text?: string;
}

/** An event of the timeline. */
export interface TimelineEvent extends TimelineDetail {
  readonly instanceId: string;
  readonly time: clock.HybridTime;
  readonly step: string;
}

/** A ring buffer of the latest events of one process. */
export interface Timeline {
  readonly record: (step: string, detail?: TimelineDetail) => void;
  /** Returns the buffered events later than `after`, oldest first. */
  readonly read: (after?: clock.HybridTime) => readonly TimelineEvent[];
}

const defaultCapacity = 8_192;

/** Creates a timeline that keeps the latest `capacity` events. */
export const createTimeline = (
  instanceId: string,
  hybridClock: clock.HybridClock,
  capacity = defaultCapacity,
): Timeline => {
  const events: TimelineEvent[] = [];
  let nextIndex = 0;

  const listOldestFirst = () => [...events.slice(nextIndex), ...events.slice(0, nextIndex)];

  return {
    record: (step, detail = {}) => {
      events[nextIndex] = { instanceId, time: hybridClock.tick(), step, ...detail };
      nextIndex = (nextIndex + 1) % capacity;
    },
    read: (after = { wallMs: 0, counter: -1 }) =>
      listOldestFirst().filter(
        ({ time }) =>
          time.wallMs > after.wallMs ||
          (time.wallMs === after.wallMs && time.counter > after.counter),
      ),
  };
};
