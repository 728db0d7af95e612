import type * as fleet from '@comfreydrum/fleet';
import type { CallerRequest } from './CallerRequest';
import { createNotRunRefusal, createStalePlanRefusal, type Refusal } from './Refusal';
import type { RelayDependencies } from './RelayDependencies';
import { resolveAccess, type Access } from './resolveAccess';

export type Admission =
  | {
      readonly kind: 'admitted';
      /** The plan that admits the request. */
      readonly plan: fleet.TrafficPlan;
      readonly route: fleet.Route;
      readonly customer: fleet.Customer | undefined;
    }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

const noPlanRetryAfterMs = 500;

/** The refusal of a request that arrives before a traffic plan is known. */
export const noPlanRefusal = createNotRunRefusal(
  'no-plan',
  'no traffic plan is known yet',
  noPlanRetryAfterMs,
);

const denialStatuses = { 'no-route': 404, 'unknown-key': 401 } as const;

const refuse = (refusal: Refusal): Admission => ({ kind: 'refused', refusal });

/**
 * Admits a request by the current plan, which is at least that of a daemon that has handed it over. A denial is final
 * for the caller, and a key may have been revoked, so both need a plan that was lately confirmed to be in force;
 * without one the request is refused and may come again.
 */
export const admitRequest = async (
  {
    plan: tracker,
    keyValidityMs,
    denialValidityMs,
  }: Pick<RelayDependencies, 'keyValidityMs' | 'denialValidityMs'> & {
    readonly plan: Pick<
      fleet.PlanTracker,
      'current' | 'ageMs' | 'confirmedBy' | 'announce' | 'confirmPlan'
    >;
  },
  request: Pick<CallerRequest, 'host' | 'path' | 'key' | 'handover'>,
): Promise<Admission> => {
  const known = tracker.current();
  if (known === undefined) return refuse(noPlanRefusal);

  const maxAgeMsFor = (access: Access): number => {
    if (access.kind === 'denied') return denialValidityMs;
    return access.customer === undefined ? Infinity : keyValidityMs;
  };

  let plan = known;
  const { planRevision = plan.revision } = request.handover ?? {};
  if (planRevision > plan.revision) {
    tracker.announce(planRevision);
    const confirmed = await tracker.confirmPlan(denialValidityMs);
    if (confirmed === undefined) return refuse(createStalePlanRefusal(tracker.ageMs()));
    plan = confirmed;
  }
  let access = resolveAccess(plan, request);
  while (access.kind === 'denied' || tracker.ageMs() > maxAgeMsFor(access)) {
    const confirmed = await tracker.confirmPlan(maxAgeMsFor(access));
    if (confirmed === undefined) return refuse(createStalePlanRefusal(tracker.ageMs()));
    const wasDenied = access.kind === 'denied';
    plan = confirmed;
    access = resolveAccess(plan, request);
    if (wasDenied && access.kind === 'denied') {
      const { cause, message } = access;
      const decidedBy = {
        revision: plan.revision,
        ageMs: tracker.ageMs(),
        confirmedBy: tracker.confirmedBy(),
      };
      const statusCode = denialStatuses[cause];
      return refuse({ cause, statusCode, ran: 'not-run', message, decidedBy });
    }
  }
  const { route, customer } = access;
  return { kind: 'admitted', plan, route, customer };
};
