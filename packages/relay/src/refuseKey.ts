import { refuseNotRun, reportFailure } from './Refusal';
import type { ServeResult } from './ServeResult';

const retryAfterMs = 700;

/** Refuses a request whose key could no longer be verified before an attempt. */
export const refuseKey = (runCount: number): ServeResult => {
  const text = 'the key of the caller is not proved good any more';
  const refusal =
    runCount > 0
      ? reportFailure('plan-out-of-date', text)
      : refuseNotRun('plan-out-of-date', text, retryAfterMs);
  return { kind: 'refused', refusal };
};
