import * as zod from 'zod';

const count = zod.number().int().nonnegative();

/** Faults to inject into the next streamed events of an engine; each value is a count. */
export const eventFaultsSchema = zod
  .object({
    duplicatedEvents: count.describe('Events sent twice.'),
    swappedEvents: count.describe('Events sent after the next one.'),
    foreignEvents: count.describe('Events of another request, inserted into the stream.'),
    tornEvents: count.describe('Streams that end in the middle of an event.'),
    silentEnds: count.describe('Streams that end without the end-of-stream event.'),
  })
  .partial();

export type EventFaultCounts = Readonly<zod.infer<typeof eventFaultsSchema>>;
export type EventFaultKind = keyof EventFaultCounts;

/** The faults that remain to be injected. */
export interface EventFaults {
  /** Replaces the remaining count of each given kind. */
  readonly set: (counts: EventFaultCounts) => void;
  /** Decrements the count of a fault; returns false when it is zero. */
  readonly consume: (kind: EventFaultKind) => boolean;
}

/** Creates event faults with every count at zero. */
export const createEventFaults = (): EventFaults => {
  let remainingCounts: EventFaultCounts = {};
  return {
    set: (counts) => {
      remainingCounts = { ...remainingCounts, ...counts };
    },
    consume: (kind) => {
      const remaining = remainingCounts[kind] ?? 0;
      if (remaining === 0) return false;
      remainingCounts = { ...remainingCounts, [kind]: remaining - 1 };
      return true;
    },
  };
};
