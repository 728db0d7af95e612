import * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import {
  createScriptedClient,
  type ScriptedResponse,
} from '../../object-store/src/testing/createScriptedClient';
import * as fleet from './index';

const test = uvu.suite('traffic plan');

const key = { kind: 'plans', name: 'main' };

const stored = (revision: number | 'unreadable', version: number) => ({
  ...key,
  version,
  value: revision,
});

const decode = (value: unknown): errors.Result<fleet.TrafficPlan> =>
  typeof value === 'number'
    ? errors.ok({ revision: value } as fleet.TrafficPlan)
    : errors.err({ kind: 'invalid', step: 'decode', peer: 'store', message: 'no number' });

const waitForUpdates = () =>
  new Promise((resolve) => {
    setTimeout(resolve, 20);
  });

const inForceMs = 2_000;

const createDaemonTracker = (isHolder: boolean, script: readonly ScriptedResponse[]) => {
  const clock = clocks.createManualClock(1_000_000);
  const client = createScriptedClient(...script);
  const tracker = fleet.createPlanTracker({
    client,
    clock,
    log: telemetry.createLog({ level: 'silent', instanceId: 'test' }),
    metrics: telemetry.createMetrics(),
    source: { key, decode },
    random: () => 0,
    inForceMs,
    isHolder: () => isHolder,
    mayFollow: () => true,
  });
  return { clock, client, tracker };
};

const createTracker = (...script: readonly ScriptedResponse[]) => createDaemonTracker(true, script);

/** A tracker that makes no call of its own once it has listed the plan, while the clock stands still. */
const createStandbyTracker = (...script: readonly ScriptedResponse[]) =>
  createDaemonTracker(false, script);

test('has no plan and an infinite age before the first response', async () => {
  const { tracker } = createTracker();
  assert.is(tracker.current(), undefined);
  assert.is(tracker.ageMs(), Infinity);
});

test('ignores a revision lower than the current one', async () => {
  const { tracker } = createTracker(
    { list: [stored(4, 10)], version: 10 },
    { watch: { version: 11, changed: [stored(6, 11)] } },
    { watch: { version: 12, changed: [stored(5, 12)] } },
  );
  await tracker.component.start?.();
  await waitForUpdates();
  assert.is(tracker.current()?.revision, 6);
});

test('keeps the last valid plan when an update cannot be decoded, and lets its age grow', async () => {
  const { tracker, clock } = createTracker(
    { list: [stored(4, 10)], version: 10 },
    { watch: { version: 11, changed: [stored('unreadable', 11)] } },
  );
  await tracker.component.start?.();
  await waitForUpdates();
  assert.is(tracker.current()?.revision, 4);
  clock.advance(3_000);
  assert.ok(tracker.ageMs() >= 3_000);
});

test('ages by both clocks, and is confirmed again by one read', async () => {
  const { tracker, clock, client } = createTracker({ list: [stored(4, 10)], version: 10 });
  await tracker.component.start?.();
  await waitForUpdates();
  assert.is(tracker.ageMs(), 0);
  clock.shiftWallClock(5_000);
  assert.is(
    tracker.ageMs(),
    5_000,
    'a jump of the wall clock may mean that the host was suspended',
  );
  const recent = await tracker.confirmPlan(6_000);
  assert.is(recent?.revision, 4, 'a recent enough confirmation needs no call');
  const fresh = tracker.confirmPlan(4_000);
  // The pending watch consumes the first response, the read the second.
  client.add({ fail: 'unreachable' }, { object: stored(5, 13) });
  assert.is((await fresh)?.revision, 5);
  assert.is(tracker.current()?.revision, 5);
});

test('reports that the plan is not fresh when the store is unreachable', async () => {
  const { tracker, clock } = createTracker(
    { list: [stored(4, 10)], version: 10 },
    { fail: 'unreachable' },
    { fail: 'unreachable' },
    { fail: 'unreachable' },
  );
  await tracker.component.start?.();
  await waitForUpdates();
  clock.advance(5_000);
  assert.is(await tracker.confirmPlan(4_000), undefined);
});

test('confirms no plan by its age once another daemon has named a newer one', async () => {
  const { tracker, clock } = createStandbyTracker(
    { list: [stored(4, 10)], version: 10 },
    { fail: 'unreachable' },
    { object: stored(5, 11) },
  );
  await tracker.component.start?.();
  await waitForUpdates();
  tracker.applyShared({ revision: 5, ageMs: 0 }, clocks.readTimestamp(clock));
  await waitForUpdates();
  assert.is(await tracker.confirmPlan(inForceMs), undefined, 'just after the read that failed');
  clock.advance(200);
  assert.is((await tracker.confirmPlan(inForceMs))?.revision, 5);
});

test('confirms the plan that another daemon has named when a read from before brings it', async () => {
  const { tracker, clock, client } = createStandbyTracker({ list: [stored(4, 10)], version: 10 });
  await tracker.component.start?.();
  await waitForUpdates();
  clock.advance(inForceMs / 2);
  const reading = tracker.confirmPlan(0);
  clock.advance(10);
  tracker.applyShared({ revision: 5, ageMs: 0 }, clocks.readTimestamp(clock));
  client.add({ object: stored(5, 11) });
  await reading;
  const confirmed = await Promise.race([tracker.confirmPlan(inForceMs), waitForUpdates()]);
  assert.is((confirmed as fleet.TrafficPlan | undefined)?.revision, 5);
});

test('tells whether the store, a read or another daemon has confirmed the plan last', async () => {
  const { tracker, clock } = createStandbyTracker(
    { list: [stored(4, 10)], version: 10 },
    { object: stored(4, 10) },
  );
  assert.is(tracker.confirmedBy(), undefined);
  await tracker.component.start?.();
  await waitForUpdates();
  assert.is(tracker.confirmedBy(), 'watch');
  clock.advance(inForceMs / 2);
  await tracker.confirmPlan(0);
  assert.is(tracker.confirmedBy(), 'read');
  clock.advance(100);
  tracker.applyShared({ revision: 4, ageMs: 50 }, clocks.readTimestamp(clock));
  assert.is(tracker.confirmedBy(), 'daemon');
  assert.is(tracker.ageMs(), 50);
});

test('makes few calls for many requests that need a confirmation which the store does not give', async () => {
  const failures = Array.from({ length: 100 }, () => ({ fail: 'refused' as const }));
  const { tracker, clock, client } = createTracker({ list: [stored(4, 10)], version: 10 });
  await tracker.component.start?.();
  await waitForUpdates();
  clock.advance(5_000);
  // The pending watch consumes the first response; the follower may repeat it once meanwhile.
  client.add(...failures);
  const readCount = () => client.calls.filter((call) => call.startsWith('get')).length;
  for (let count = 0; count < 50; count += 1) await tracker.confirmPlan(inForceMs);
  assert.is(readCount(), 1);
  clock.advance(1_000);
  for (let count = 0; count < 50; count += 1) await tracker.confirmPlan(inForceMs);
  assert.is(readCount(), 2);
});

test('believes the store when it does not have the plan that another daemon has named', async () => {
  const { tracker, clock } = createStandbyTracker(
    { list: [stored(4, 10)], version: 10 },
    { object: stored(4, 10) },
  );
  await tracker.component.start?.();
  await waitForUpdates();
  tracker.applyShared({ revision: 5, ageMs: 0 }, clocks.readTimestamp(clock));
  await waitForUpdates();
  assert.is((await tracker.confirmPlan(inForceMs))?.revision, 4);
});

test('has a new plan in force in time where nobody confirms it and a call to the store fails', async () => {
  const tracker = fleet.createPlanTracker({
    client: createScriptedClient(
      { list: [stored(4, 10)], version: 10 },
      { fail: 'unreachable' },
      { list: [stored(5, 11)], version: 11 },
    ),
    clock: clocks.createSystemClock(),
    log: telemetry.createLog({ level: 'silent', instanceId: 'test' }),
    metrics: telemetry.createMetrics(),
    source: { key, decode },
    // The longest delay before a failed call is repeated.
    random: () => 0.999,
    inForceMs,
    isHolder: () => false,
    mayFollow: () => true,
  });
  const startedAtMs = performance.now();
  await tracker.component.start?.();
  while (tracker.current()?.revision !== 5 && performance.now() - startedAtMs < 2 * inForceMs) {
    await waitForUpdates();
  }
  const tookMs = performance.now() - startedAtMs;
  await tracker.component.stop?.();
  assert.ok(tookMs < inForceMs, `in force after ${Math.round(tookMs)} ms`);
});

// Guards against a plan that is followed no more, as a watch of the holder never ended.
test('follows the plan again although a watch never ends', async () => {
  const { tracker, client } = createTracker({ list: [stored(4, 10)], version: 10 });
  await tracker.component.start?.();
  const isWatchedAgain = () => client.calls.filter((call) => call.startsWith('watch')).length === 2;
  await testing.waitUntil(isWatchedAgain, inForceMs, 'a second watch');
  client.add({ fail: 'unreachable' }, { watch: { version: 11, changed: [stored(5, 11)] } });
  await waitForUpdates();
  assert.is(tracker.current()?.revision, 5);
});

test.run();
