import * as clocks from '@comfreydrum/clock';
import type * as targetClient from '@comfreydrum/target-client';
import type { Candidate } from '../chooseTarget';
import type { ResponseMetadata, TargetWire } from '../TargetWire';

const probeTimeoutMs = 300;

/** Reports whether a target gives any answer on a new connection. */
export const probeTarget = async (
  client: targetClient.TargetClient,
  targetWire: TargetWire,
  { address, targetId }: Pick<Candidate, 'address' | 'targetId'>,
  onAnswer: (metadata: ResponseMetadata) => void,
): Promise<boolean> => {
  const deadline = clocks.createAttentiveDeadline(probeTimeoutMs);
  const sent = await client.send({
    url: `http://${address}`,
    method: 'GET',
    ...targetWire.probeRequest(targetId),
    body: null,
    signal: deadline.signal,
  });
  deadline.release();
  if (!sent.ok) return false;
  const { statusCode, headers, body } = sent.value;
  body.discard();
  onAnswer(targetWire.decodeResponse(statusCode, headers));
  return true;
};
