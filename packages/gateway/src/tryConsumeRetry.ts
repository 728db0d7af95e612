import type { GatewayParts } from './GatewayParts';
import type { RequestContext } from './RequestContext';

const noTargets: ReadonlySet<string> = new Set();

/**
 * Consumes a retry from the team's budget and reports whether it was allowed; it is refused after the
 * deadline. Routing excludes tried targets. Moving a request off a lost target does not count as a retry.
 */
export const tryConsumeRetry = (parts: GatewayParts, context: RequestContext): boolean => {
  const request = {
    targetId: '',
    triedIds: noTargets,
    deadlineAtMs: context.deadlineAtMs,
    expectedMs: 0,
  };
  const nowMs = parts.dependencies.clock.monotonicMs();
  return parts.retryBudgets.of(context.caller.team).tryRetry(request, nowMs).kind === 'allowed';
};
