import * as clock from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createCallBudget } from './createCallBudget';
import { createRateMeter } from './createRateMeter';
import { createRecentMaximum } from './createRecentMaximum';
import { createOutageDetector } from './createOutageDetector';
import * as objectStore from './index';

type FailureKind = objectStore.PlatformFailure['kind'];

const createRandom = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

const failure = (kind: FailureKind) =>
  errors.err<objectStore.PlatformFailure>({ kind, step: 'test', peer: 'platform', message: kind });

/** Creates a fake client that records calls in order and can delay its responses. */
const createFakeClient = () => {
  const sent: string[] = [];
  const heldResponses: (() => void)[] = [];
  let fault: FailureKind | undefined;
  let isHolding = false;
  const answer = async <Value>(call: string, value: Value) => {
    sent.push(call);
    if (isHolding) {
      await new Promise<void>((resolve) => {
        heldResponses.push(resolve);
      });
    }
    return fault === undefined ? errors.ok(value) : failure(fault);
  };
  const client: objectStore.PlatformClient = {
    get: ({ kind, name }) =>
      answer(`get ${kind}/${name}`, { kind, name, version: 1, value: sent.length }),
    list: (kind) => answer(`list ${kind}`, { version: 1, objects: [] }),
    put: ({ kind, name }) => answer(`put ${kind}/${name}`, 1),
    remove: ({ kind, name }) => answer(`remove ${kind}/${name}`, undefined),
    watch: async (kind, _, __, signal) => {
      const result = await answer(`watch ${kind}`, { version: 1, changed: [], deletedNames: [] });
      return signal?.aborted ? failure('unreachable') : result;
    },
    instances: () => answer('instances', []),
  };
  return {
    client,
    sent,
    setFault: (kind: FailureKind | undefined) => {
      fault = kind;
    },
    hold: () => {
      isHolding = true;
    },
    answerNow: () => {
      isHolding = false;
      heldResponses.splice(0).forEach((resolve) => resolve());
    },
  };
};

const createTestClient = (perSecond: number, memberCount = 1) => {
  const inner = createFakeClient();
  const budgetedClient = objectStore.createBudgetedPlatformClient(inner.client, {
    clock: clock.createSystemClock(),
    random: createRandom(1),
    readsPerSecond: perSecond,
    writesPerSecond: perSecond,
    memberCount: () => memberCount,
  });
  return { ...inner, budgetedClient };
};

const key = (name: string) => ({ kind: 'k', name });
const makeReads = (budgetedClient: objectStore.PlatformClient, count: number) =>
  Promise.all(
    Array.from({ length: count }, (_, index) => budgetedClient.get(key(`spent-${index}`))),
  );

const test = uvu.suite('budgeted platform client');

test('keeps fleets of any size within the fleet rate', () => {
  [1, 8, 340].forEach((memberCount) => {
    const manual = clock.createManualClock();
    const budgets = Array.from({ length: memberCount }, () =>
      createCallBudget({ clock: manual, fleetPerSecond: 2_000, memberCount: () => memberCount }),
    );
    const takeAll = () =>
      budgets.reduce((sum, budget) => {
        let count = 0;
        while (budget.tryAcquire('background')) count += 1;
        return sum + count;
      }, 0);
    takeAll();
    let taken = 0;
    for (let step = 0; step < 100; step += 1) {
      manual.advance(100);
      taken += takeAll();
    }
    assert.ok(taken <= 20_000 * 1.01, `${taken} calls of ${memberCount} daemons in 10 s`);
    assert.ok(taken >= 20_000 * 0.8, `${taken} calls of ${memberCount} daemons in 10 s`);
  });
});

test('does not raise its share when a network partition hides the other daemons', () => {
  const manual = clock.createManualClock();
  let seen = 340;
  const count = createRecentMaximum(manual, () => seen);
  assert.is(count(), 340);
  seen = 1;
  manual.advance(3_600_000);
  assert.is(count(), 340);
  manual.advance(3_600_001);
  assert.is(count(), 1);
});

test('raises the rate of a busy daemon until the platform refuses a call', () => {
  const manual = clock.createManualClock();
  const budget = createCallBudget({
    clock: manual,
    fleetPerSecond: 340,
    memberCount: () => 340,
  });
  const drive = (seconds: number) => {
    for (let step = 0; step < seconds * 10; step += 1) {
      manual.advance(100);
      while (budget.tryAcquire('safety'));
    }
  };
  drive(30);
  assert.is(Math.round(budget.perSecond()), 16);
  budget.recordRefusal();
  assert.is(Math.round(budget.perSecond()), 8);
  manual.advance(60_000);
  budget.tryAcquire('safety');
  assert.is(Math.round(budget.perSecond()), 1);
});

test('sends safety calls first when the budget is exhausted', async () => {
  const { budgetedClient, sent } = createTestClient(40);
  await makeReads(budgetedClient, 40);
  const calls = [
    budgetedClient.get(key('late'), 'background'),
    budgetedClient.get(key('middle'), 'normal'),
    budgetedClient.get(key('first'), 'safety'),
  ];
  await Promise.all(calls);
  assert.equal(sent.slice(40), ['get k/first', 'get k/middle', 'get k/late']);
});

test('coalesces identical waiting reads, but not with a read that was sent', async () => {
  const { budgetedClient, sent, hold, answerNow } = createTestClient(40);
  hold();
  const before = budgetedClient.get(key('a'));
  await new Promise(setImmediate);
  const after = budgetedClient.get(key('a'));
  await new Promise(setImmediate);
  assert.is(sent.length, 2, 'a read that was sent is not shared');
  answerNow();
  await Promise.all([before, after]);
  await makeReads(budgetedClient, 38);
  await Promise.all([
    budgetedClient.get(key('b')),
    budgetedClient.get(key('b')),
    budgetedClient.get(key('b')),
  ]);
  assert.is(sent.filter((call) => call === 'get k/b').length, 1);
  assert.is(budgetedClient.statistics().coalescedCount, 2);
});

test('rejects calls immediately when too many wait', async () => {
  const { budgetedClient } = createTestClient(4);
  await makeReads(budgetedClient, 4);
  const waiting = Array.from({ length: 300 }, (_, index) => budgetedClient.get(key(`w-${index}`)));
  const last = await waiting[299]!;
  assert.is(last.ok ? '' : last.error.kind, 'refused');
  assert.is(budgetedClient.statistics().waitingCount, 256);
  await budgetedClient.component.stop!();
  await Promise.all(waiting);
});

test('rejects calls immediately during an outage, and sends again after one success', async () => {
  const { budgetedClient, sent, setFault } = createTestClient(1_000);
  await budgetedClient.component.start!();
  setFault('unreachable');
  await makeReads(budgetedClient, 3);
  const countAtOutage = sent.length;
  const refused = await budgetedClient.put(key('a'), 1, 'absent', 'safety');
  assert.is(refused.ok ? '' : refused.error.kind, 'unreachable');
  assert.is(sent.length, countAtOutage, 'nothing was sent');
  const outage = budgetedClient.outage();
  assert.ok(outage.kind === 'outage' && outage.retryAfterMs > 0);
  setFault(undefined);
  while (budgetedClient.outage().kind === 'outage') await new Promise(setImmediate);
  assert.ok((await budgetedClient.get(key('a'))).ok);
  await budgetedClient.component.stop!();
});

test('counts watches, and does not count an abort by the caller as a failure', async () => {
  const { budgetedClient, hold, answerNow } = createTestClient(1_000);
  hold();
  const abort = new AbortController();
  const watches = [1, 2, 3, 4].map(() => budgetedClient.watch('k', 1, 1_000, abort.signal));
  await new Promise(setImmediate);
  abort.abort();
  answerNow();
  await Promise.all(watches);
  assert.is(budgetedClient.statistics().watchCount, 4);
  assert.is(budgetedClient.statistics().failureCount, 0);
  assert.is(budgetedClient.outage().kind, 'none');
});

test('reports the rate of the last ten seconds', () => {
  const manual = clock.createManualClock();
  const meter = createRateMeter(manual);
  Array.from({ length: 50 }, () => meter.count());
  manual.advance(5_000);
  assert.is(meter.perSecond(), 5);
  manual.advance(5_000);
  assert.is(meter.perSecond(), 0);
});

test('staggers the reconnects of a fleet after an outage', () => {
  const manual = clock.createManualClock();
  const daemonCount = 340;
  const outageMs = 120_000;
  const stepMs = 50;
  const detectors = Array.from({ length: daemonCount }, (_, index) =>
    createOutageDetector(manual, createRandom(index + 1)),
  );
  const triesPerStep: number[] = [];
  const step = (platformIsUp: boolean) => {
    manual.advance(stepMs);
    const due = detectors.filter((detector) => {
      const outage = detector.outage();
      return outage.kind === 'outage' && outage.retryAfterMs === 0;
    });
    due.forEach((detector) => detector.report(platformIsUp));
    triesPerStep.push(due.length);
  };
  detectors.forEach((detector) => [1, 2, 3].forEach(() => detector.report(false)));
  while (manual.monotonicMs() < outageMs) step(false);
  const duringOutage = triesPerStep.slice(-200).reduce((sum, count) => sum + count, 0) / 200;
  assert.ok(
    duringOutage * (1_000 / stepMs) < 120,
    `${duringOutage} attempts per step in the outage`,
  );
  triesPerStep.length = 0;
  while (manual.monotonicMs() < outageMs + 10_000) step(true);
  assert.is(
    triesPerStep.reduce((sum, count) => sum + count, 0),
    daemonCount,
  );
  assert.ok(Math.max(...triesPerStep) < 20, `${Math.max(...triesPerStep)} reconnected in one step`);
});

test.run();
