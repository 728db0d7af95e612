import type { Candidate } from '../chooseTarget';
import type { RelayDependencies } from '../RelayDependencies';
import type { RequestContext } from '../RequestContext';
import type { WaitOutcome } from './createDispatchQueues';
import { engineTimesOf } from './engineTimesOf';

/** How a request comes by a place: `free` means that it needs no wait, or that none is known to help. */
export type PlaceOutcome = { readonly kind: 'free' } | WaitOutcome;

/** Waits until a target is expected to have a place, if the request can then still be served in time. */
export const waitForPlace = async (
  dependencies: RelayDependencies,
  context: RequestContext,
  listCandidates: (nowMs: number) => readonly Candidate[],
): Promise<PlaceOutcome> => {
  const { clock, placing, dispatchQueues, crashMonitor, targetReach } = dependencies;
  if (engineTimesOf(context.service, context.request.modelName) === undefined)
    return { kind: 'free' };
  const forecast = () => {
    const nowMs = clock.monotonicMs();
    return placing.forecast(context, listCandidates(nowMs), nowMs);
  };
  const first = forecast();
  if (first === undefined) return { kind: 'free' };
  if (first.hasPlace && !dispatchQueues.isBusy(context)) return { kind: 'free' };
  const isQuarantined = () =>
    crashMonitor.check(context.fingerprint, context.sharedPartIds).kind === 'quarantined';
  return dispatchQueues.wait({
    context,
    forecast,
    isWithdrawn: () =>
      context.callerDisconnected.aborted ||
      context.mustEnd.aborted ||
      !context.isStillAuthorized() ||
      isQuarantined() ||
      // Another daemon serves the request, since this one reaches no target any more.
      (context.request.handover === undefined &&
        targetReach.helpersOf(context.service.name).length > 0),
  });
};
