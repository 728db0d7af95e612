import type { OrderAnswer } from './createOrderBook';
import type { OrderOutcome } from './TargetOrders';

/** Tells what an outcome says of whether the order was or will be carried out. */
export const answerOf = (outcome: OrderOutcome): OrderAnswer => {
  if (outcome === 'accepted') return 'taken';
  return outcome === 'unanswered' ? 'unanswered' : 'refused';
};
