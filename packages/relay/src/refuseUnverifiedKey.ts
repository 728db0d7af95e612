import { createNotRunRefusal, createFailureRefusal } from './Refusal';
import type { ServeResult } from './ServeResult';

const retryAfterMs = 700;

/** Refuses a request whose key could no longer be verified before an attempt. */
export const refuseUnverifiedKey = (runCount: number): ServeResult => {
  const text = 'the key of the caller is not proved good any more';
  const refusal =
    runCount > 0
      ? createFailureRefusal('plan-out-of-date', text)
      : createNotRunRefusal('plan-out-of-date', text, retryAfterMs);
  return { kind: 'refused', refusal };
};
