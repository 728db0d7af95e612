import type { TargetReport } from '../TargetOrders';

/** Returns the report of an idle target in no group, with some changes. */
export const reportOf = (targetId: string, changes: Partial<TargetReport> = {}): TargetReport => ({
  targetId,
  startedAtMs: 1,
  paceFactor: 1,
  activeRequests: 0,
  queuedRequests: 0,
  membership: undefined,
  orderCount: 0,
  ...changes,
});
