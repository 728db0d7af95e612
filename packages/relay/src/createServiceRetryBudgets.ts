import * as routing from '@comfreydrum/routing';

/** The retry budgets of the services. */
export interface ServiceRetryBudgets {
  /** Returns the budget of a service, which starts with a full reserve. */
  readonly of: (serviceName: string) => routing.RetryBudget;
  /** Sets the maximum number of retries that each service can accumulate. */
  readonly setReserve: (reserve: number) => void;
}

/** Creates the budgets, one for each service, so that the requests for one allow no retries at another. */
export const createServiceRetryBudgets = (
  options: Required<routing.RetryBudgetOptions>,
): ServiceRetryBudgets => {
  const { fraction } = options;
  const budgets = new Map<string, routing.RetryBudget>();
  let { reserve } = options;

  const create = (serviceName: string): routing.RetryBudget => {
    const budget = routing.createRetryBudget({ fraction, reserve });
    budgets.set(serviceName, budget);
    return budget;
  };

  return {
    of: (serviceName) => budgets.get(serviceName) ?? create(serviceName),
    setReserve: (next) => {
      reserve = next;
      budgets.forEach((budget) => budget.setReserve(next));
    },
  };
};
