import type * as fleet from '@comfreydrum/fleet';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { admitRequest } from './admitRequest';

const test = uvu.suite('admission of requests');

const keyValidityMs = 4_750;
const denialValidityMs = 1_900;

const createRoute = (pathPrefix: string, isPublic = false) =>
  ({ name: pathPrefix, host: 'desk.example', pathPrefix, isPublic }) as fleet.Route;

const createPlan = (
  revision: number,
  pathPrefixes: readonly string[],
  keys: readonly string[],
): fleet.TrafficPlan =>
  ({
    revision,
    routes: [createRoute('/public/', true), ...pathPrefixes.map((prefix) => createRoute(prefix))],
    customersByKey: new Map(keys.map((key) => [key, { name: `customer of ${key}` }])),
  }) as unknown as fleet.TrafficPlan;

const before = createPlan(7, ['/filings/', '/dropped/'], ['key-1', 'revoked']);
const after = createPlan(8, ['/filings/', '/orders/'], ['key-1', 'key-3']);

/** A tracker whose plan is `ageMs` old until it is confirmed; `confirmed` is the plan in the store. */
const createTracker = (ageMs: number, confirmed: fleet.TrafficPlan | undefined) => {
  let plan: fleet.TrafficPlan = before;
  let currentAgeMs = ageMs;
  let readCount = 0;
  return {
    current: () => plan,
    ageMs: () => currentAgeMs,
    confirmedBy: () => 'read' as const,
    confirmPlan: async (maxAgeMs: number) => {
      if (currentAgeMs <= maxAgeMs) return plan;
      readCount += 1;
      if (confirmed === undefined) return undefined;
      plan = confirmed;
      currentAgeMs = 0;
      return plan;
    },
    announce: () => {
      currentAgeMs = Infinity;
    },
    readCount: () => readCount,
  };
};

const request = (path: string, key = 'key-1', planRevision?: number) => ({
  host: 'desk.example',
  path,
  key,
  handover: planRevision === undefined ? undefined : { remainingRuns: 1, planRevision },
});

const admit = async (
  tracker: ReturnType<typeof createTracker>,
  ...args: Parameters<typeof request>
) => {
  const admission = await admitRequest(
    { plan: tracker, keyValidityMs, denialValidityMs },
    request(...args),
  );
  return admission.kind === 'admitted'
    ? `${admission.route.name} of ${admission.plan.revision} for ${admission.customer?.name}`
    : `${admission.refusal.statusCode} ${admission.refusal.cause} by ${admission.refusal.decidedBy?.revision}`;
};

test('denies no route that the plan has by which it confirms the denial', async () => {
  const tracker = createTracker(10_000, after);
  assert.is(await admit(tracker, '/orders/1'), '/orders/ of 8 for customer of key-1');
});

test('denies no key that the plan has by which it confirms the denial', async () => {
  const tracker = createTracker(10_000, after);
  assert.is(await admit(tracker, '/filings/1', 'key-3'), '/filings/ of 8 for customer of key-3');
});

test('denies a route and a key that the confirmed plan has not, though the plan of before has them', async () => {
  assert.is(await admit(createTracker(10_000, after), '/dropped/1'), '404 no-route by 8');
  const revoked = await admit(createTracker(10_000, after), '/filings/1', 'revoked');
  assert.is(revoked, '401 unknown-key by 8');
});

test('denies nothing by a plan that may have been replaced, though a key may still be honoured by it', async () => {
  const ageMs = 3_000;
  assert.is(
    await admit(createTracker(ageMs, after), '/orders/1'),
    '/orders/ of 8 for customer of key-1',
  );
  const added = await admit(createTracker(ageMs, after), '/filings/1', 'key-3');
  assert.is(added, '/filings/ of 8 for customer of key-3');
  const known = createTracker(ageMs, after);
  assert.is(await admit(known, '/filings/1'), '/filings/ of 7 for customer of key-1');
  assert.is(known.readCount(), 0, 'sound requests wait for no read');
});

test('denies nothing by a plan that can not be confirmed', async () => {
  const refusal = '503 plan-out-of-date by undefined';
  assert.is(await admit(createTracker(10_000, undefined), '/orders/1'), refusal);
  assert.is(await admit(createTracker(10_000, undefined), '/filings/1', 'key-3'), refusal);
  assert.is(await admit(createTracker(10_000, undefined), '/filings/1'), refusal);
});

test('admits a request that was handed over by no older plan than the other daemon has', async () => {
  const tracker = createTracker(100, after);
  assert.is(await admit(tracker, '/filings/1', 'key-1', 8), '/filings/ of 8 for customer of key-1');
  assert.is(await admit(createTracker(100, after), '/dropped/1', 'key-1', 8), '404 no-route by 8');
  const unconfirmed = await admit(createTracker(100, undefined), '/filings/1', 'key-1', 8);
  assert.is(unconfirmed, '503 plan-out-of-date by undefined');
  const known = createTracker(100, after);
  assert.is(await admit(known, '/filings/1', 'key-1', 7), '/filings/ of 7 for customer of key-1');
  assert.is(known.readCount(), 0);
});

test('admits without a read where the plan is confirmed, or the route needs no key', async () => {
  const confirmed = createTracker(100, after);
  assert.is(await admit(confirmed, '/filings/1'), '/filings/ of 7 for customer of key-1');
  const old = createTracker(10_000, after);
  assert.is(await admit(old, '/public/1'), '/public/ of 7 for undefined');
  assert.equal([confirmed.readCount(), old.readCount()], [0, 0]);
});

test.run();
