import * as configuration from '@comfreydrum/configuration';
import * as errors from '@comfreydrum/errors';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createRetryBudgets } from './createRetryBudgets';
import { createTestGateway, testTokens } from './testing/createTestGateway';

const test = uvu.suite('retry budgets');

const retryRequest = { targetId: 'a', triedIds: new Set<string>(), deadlineAtMs: 1, expectedMs: 0 };

const teamOf = (team: string, retryBudgetFraction: number) => {
  const document = { team, failureDomains: [], targetKinds: [], retryBudgetFraction };
  return errors.unwrap(configuration.checkConfiguration(document, 'test'));
};

test('applies changes of the retry fraction of each team', () => {
  const budgets = createRetryBudgets();
  const countRetries = (team: configuration.Configuration) => {
    let count = 0;
    while (budgets.of(team).tryRetry(retryRequest, 0).kind === 'allowed') count += 1;
    return count;
  };
  const addFirstAttempts = (team: configuration.Configuration) => {
    for (let index = 0; index < 20; index += 1) budgets.of(team).onFirstAttempt();
  };
  countRetries(teamOf('a', 0.5));
  addFirstAttempts(teamOf('a', 0.5));
  assert.is(countRetries(teamOf('a', 0.5)), 10);
  addFirstAttempts(teamOf('a', 0.25));
  assert.is(countRetries(teamOf('a', 0.25)), 5);
  assert.is(countRetries(teamOf('b', 0)), 0);
});

/** Returns the number of calls to targets for one lookup when every target responds with 503. */
const countCalls = async (retryBudgetFraction: number) => {
  let callCount = 0;
  const gateway = await createTestGateway({
    target: (_request, response) => {
      callCount += 1;
      response.writeHead(503).end();
    },
    serviceTargetCount: 3,
    retryBudgetFraction,
  });
  const headers = { authorization: `Bearer ${testTokens.court}` };
  const { status } = await fetch(`${gateway.url}/cases/1`, { headers });
  await gateway.stop();
  assert.is(status, 502);
  return callCount;
};

test('limits retries by the retry fraction of the team', async () => {
  assert.is(await countCalls(0), 1);
  assert.is(await countCalls(0.1), 3);
});

test.run();
