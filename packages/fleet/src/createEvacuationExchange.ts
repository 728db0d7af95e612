import type * as clocks from '@comfreydrum/clock';
import * as zod from 'zod';
import type { EvacuationTracker } from './createEvacuationTracker';

/** Passes the orders to empty failure domains from the lease holder to the other daemons. */
export interface EvacuationExchange {
  readonly createResponse: () => Readonly<Record<string, unknown>>;
  readonly applyResponse: (response: unknown, askedAt: clocks.Timestamp) => void;
}

const responseSchema = zod.object({
  evacuations: zod
    .object({ ageMs: zod.number().nonnegative(), failureDomains: zod.array(zod.string()) })
    .optional(),
});

export const createEvacuationExchange = (tracker: () => EvacuationTracker): EvacuationExchange => ({
  createResponse: () => ({ evacuations: tracker().share() }),
  applyResponse: (response, askedAt) => {
    const parsed = responseSchema.safeParse(response);
    if (!parsed.success || parsed.data.evacuations === undefined) return;
    tracker().applyShared(parsed.data.evacuations, askedAt);
  },
});
