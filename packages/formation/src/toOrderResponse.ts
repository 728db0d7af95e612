import type { OrderResponse } from './createOrderTracker';
import type { OrderOutcome } from './TargetOrders';

/** Classifies an outcome by whether the order was executed, was refused, or may still be executed. */
export const toOrderResponse = (outcome: OrderOutcome): OrderResponse => {
  if (outcome === 'accepted') return 'accepted';
  return outcome === 'unanswered' ? 'unanswered' : 'refused';
};
