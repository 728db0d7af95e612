import type * as fleet from '@comfreydrum/fleet';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import type { Refusal } from './Refusal';
import { refuseLargeBody } from './refuseLargeBody';
import { call } from './testing/callers';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('bodies over the limit of a plan');

const createPlan = (revision: number, maxBodyBytes: number) =>
  ({ revision, limits: { maxBodyBytes } }) as fleet.TrafficPlan;

const tooLarge: Refusal = {
  cause: 'body-too-large',
  statusCode: 413,
  ran: 'not-run',
  message: 'too large',
};

const statusBy = async (confirmed: fleet.TrafficPlan | undefined) => {
  const plan = { ageMs: () => 3_000, confirmPlan: async () => confirmed };
  const dependencies = { plan, denialValidityMs: 1_900 };
  return (await refuseLargeBody(dependencies, createPlan(7, 100), tooLarge)).statusCode;
};

test('are refused for good by the plan in force alone', async () => {
  assert.is(await statusBy(createPlan(7, 100)), 413);
  assert.is(await statusBy(createPlan(8, 50)), 413);
  assert.is(await statusBy(createPlan(8, 200)), 503);
  assert.is(await statusBy(undefined), 503);
});

test('may come again while the plan is too old for a denial', async () => {
  const targets = [{ id: 't1', listener: () => assert.unreachable('the request was passed on') }];
  const route = { kind: 'idempotent' } as const;
  await withRelay({ targets, route, planAgeMs: () => 3_000 }, async ({ url }) => {
    const response = await call(url, { body: 'x'.repeat(2_000) });
    assert.is(response.status, 503);
    assert.ok(Number(response.headers['retry-after']) > 0);
  });
});

test.run();
