import * as targetClient from '@comfreydrum/target-client';
import type { GatewayParts } from './GatewayParts';
import type { Candidate } from './SlotPool';

const timeoutMs = 500;
const maxPresenceBytes = 65_536;

/** Fetches the presence of a candidate; returns undefined without a complete response in time. */
export const fetchPresence = async (
  parts: GatewayParts,
  candidate: Candidate,
): Promise<Buffer | undefined> => {
  const sent = await parts.targets.send({
    url: candidate.url,
    path: '/presence',
    method: 'GET',
    headers: {},
    body: null,
    signal: AbortSignal.timeout(timeoutMs),
  });
  if (!sent.ok) return undefined;
  const read = await targetClient.readWholeBody(sent.value.body, candidate.url, maxPresenceBytes);
  return read.ok ? read.value : undefined;
};
