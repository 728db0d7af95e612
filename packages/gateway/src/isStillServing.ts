import * as zod from 'zod';
import { fetchPresence } from './fetchPresence';
import type { GatewayParts } from './GatewayParts';
import type { Candidate } from './SlotPool';

const presenceSchema = zod.object({
  groupId: zod.string(),
  generation: zod.number(),
  phase: zod.literal('ready'),
});

/** Reports whether the leader of a group still serves the same generation after a connection reset. */
export const isStillServing = async (
  parts: GatewayParts,
  candidate: Candidate,
): Promise<boolean> => {
  const body = await fetchPresence(parts, candidate);
  if (body === undefined) return false;
  try {
    const presence = presenceSchema.safeParse(JSON.parse(body.toString())).data;
    return presence?.groupId === candidate.id && presence.generation === candidate.generation;
  } catch {
    return false;
  }
};
