import type * as errors from '@comfreydrum/errors';
import type * as targetClient from '@comfreydrum/target-client';

export type ExecutionStatus = targetClient.ExecutionStatus;

/** The final error response to a request; `code` is the machine-readable reason. */
export interface Refusal extends errors.Failure<'refusal'> {
  readonly statusCode: number;
  readonly code: string;
  readonly ran: ExecutionStatus;
  /** The delay after which a retry may succeed. */
  readonly retryAfterMs?: number | undefined;
}

type RefusalFields = Omit<Refusal, 'kind' | 'peer' | 'ran'> & {
  readonly peer?: string;
  readonly ran?: ExecutionStatus;
};

/** Creates a refusal; unless `fields` say otherwise, the request was not run. */
export const createRefusal = (fields: RefusalFields): Refusal => ({
  kind: 'refusal',
  peer: 'caller',
  ran: 'not-run',
  ...fields,
});
