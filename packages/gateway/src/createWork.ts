import type * as configuration from '@comfreydrum/configuration';
import type { RequestContext } from './RequestContext';
import type { Work } from './SlotPool';

/** Creates the slot request of a caller's request. */
export const createWork = (
  context: RequestContext,
  route: configuration.Route,
  triedIds: ReadonlySet<string>,
  content: Pick<Work, 'prompt' | 'maxAnswerTokens'>,
): Work => ({
  requestId: context.requestId,
  customerName: context.caller.customer.name,
  customerWeight: context.caller.customer.weight,
  priority: route.priority,
  deadlineAtMs: context.deadlineAtMs,
  triedIds,
  ...content,
});
