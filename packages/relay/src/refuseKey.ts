import { refuseNotRun, reportFailure } from './Refusal';
import type { ServeResult } from './ServeResult';

const retryAfterMs = 700;

/** Ends a request whose key is no longer proved good before it could be sent (again). */
export const refuseKey = (runCount: number): ServeResult => {
  const text = 'the key of the caller is not proved good any more';
  const refusal =
    runCount > 0
      ? reportFailure('plan-out-of-date', text)
      : refuseNotRun('plan-out-of-date', text, retryAfterMs);
  return { kind: 'refused', refusal };
};
