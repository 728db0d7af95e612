import type * as configuration from '@comfreydrum/configuration';
import type { RequestContext } from './RequestContext';
import type { SlotRequest } from './SlotPool';

/** Creates the slot request of a caller's request. */
export const createSlotRequest = (
  context: RequestContext,
  route: configuration.Route,
  triedIds: ReadonlySet<string>,
  content: Pick<SlotRequest, 'prompt' | 'maxOutputTokens'>,
): SlotRequest => ({
  requestId: context.requestId,
  customerName: context.caller.customer.name,
  customerWeight: context.caller.customer.weight,
  priority: route.priority,
  deadlineAtMs: context.deadlineAtMs,
  triedIds,
  ...content,
});
