import type * as configuration from '@comfreydrum/configuration';
import * as routing from '@comfreydrum/routing';

/** The retry budgets of the teams. */
export interface RetryBudgets {
  /** Returns the budget of a team with the retry fraction of its current configuration. */
  readonly of: (team: configuration.Configuration) => routing.RetryBudget;
}

/** Number of retries that can accumulate for a burst when a target starts to refuse requests. */
const retryReserve = 64;

/** Creates the retry budgets, each on first use with its full reserve. */
export const createRetryBudgets = (): RetryBudgets => {
  const budgets = new Map<string, routing.RetryBudget>();

  const create = (teamName: string, fraction: number) => {
    const budget = routing.createRetryBudget({ fraction, reserve: retryReserve });
    budgets.set(teamName, budget);
    return budget;
  };

  return {
    of: ({ team, retryBudgetFraction }) => {
      const budget = budgets.get(team) ?? create(team, retryBudgetFraction);
      budget.setFraction(retryBudgetFraction);
      return budget;
    },
  };
};
