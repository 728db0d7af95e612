import type * as errors from '@comfreydrum/errors';
import type * as targetClient from '@comfreydrum/target-client';

export type RanState = targetClient.ExecutionStatus;

/** A final answer that a request did not succeed; `code` is the machine-readable reason. */
export interface Refusal extends errors.Failure<'refusal'> {
  readonly statusCode: number;
  readonly code: string;
  readonly ran: RanState;
  /** When coming back helps. */
  readonly retryAfterMs?: number | undefined;
}

type RefusalFields = Omit<Refusal, 'kind' | 'peer' | 'ran'> & {
  readonly peer?: string;
  readonly ran?: RanState;
};

/** Makes a refusal of a request that was not run, unless `fields` say otherwise. */
export const createRefusal = (fields: RefusalFields): Refusal => ({
  kind: 'refusal',
  peer: 'caller',
  ran: 'not-run',
  ...fields,
});
