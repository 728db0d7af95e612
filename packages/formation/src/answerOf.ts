import type { OrderAnswer } from './createOrderBook';
import type { OrderOutcome } from './TargetOrders';

/** Classifies an outcome by whether the order was executed, was refused, or may still be executed. */
export const answerOf = (outcome: OrderOutcome): OrderAnswer => {
  if (outcome === 'accepted') return 'accepted';
  return outcome === 'unanswered' ? 'unanswered' : 'refused';
};
