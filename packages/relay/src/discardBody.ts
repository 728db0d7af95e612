import type * as http from 'node:http';
import * as intake from '@comfreydrum/intake';
import type { RelayDependencies } from './RelayDependencies';

/** Assumed until a plan is known. */
const defaultMaxBodyBytes = 1_048_576;
const timeoutMs = 5_000;

/** Reads on what a caller inside the limits may still send of a request that was refused. */
export const discardBody = (
  { plan }: Pick<RelayDependencies, 'plan'>,
  request: http.IncomingMessage,
): void =>
  intake.discardRefusedBody(request, {
    maxBytes: plan.current()?.limits.maxBodyBytes ?? defaultMaxBodyBytes,
    timeoutMs,
  });
