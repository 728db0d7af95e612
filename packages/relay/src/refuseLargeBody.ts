import type * as fleet from '@comfreydrum/fleet';
import { createNotRunRefusal, createStalePlanRefusal, type Refusal } from './Refusal';
import type { RelayDependencies } from './RelayDependencies';

const newLimitRetryAfterMs = 50;

/**
 * Returns the refusal of a body that is larger than `plan` allows. It is final only if the limit of the plan in force is
 * no higher.
 */
export const refuseLargeBody = async (
  {
    plan: tracker,
    denialValidityMs,
  }: Pick<RelayDependencies, 'denialValidityMs'> & {
    readonly plan: Pick<fleet.PlanTracker, 'ageMs' | 'confirmPlan'>;
  },
  plan: fleet.TrafficPlan,
  refusal: Refusal,
): Promise<Refusal> => {
  const confirmed = await tracker.confirmPlan(denialValidityMs);
  if (confirmed === undefined) return createStalePlanRefusal(tracker.ageMs());
  if (confirmed.limits.maxBodyBytes <= plan.limits.maxBodyBytes) return refusal;
  const message = `revision ${confirmed.revision} has come into force and allows larger bodies`;
  return createNotRunRefusal('plan-out-of-date', message, newLimitRetryAfterMs);
};
