import { fetchPresence } from './fetchPresence';
import type { GatewayParts } from './GatewayParts';
import type { Candidate } from './SlotPool';

/** Reports whether a target of a service still responds after a connection reset. */
export const isServiceUp = async (parts: GatewayParts, candidate: Candidate): Promise<boolean> =>
  (await fetchPresence(parts, candidate)) !== undefined;
