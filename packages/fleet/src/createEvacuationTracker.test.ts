import * as clocks from '@comfreydrum/clock';
import * as telemetry from '@comfreydrum/telemetry';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import {
  createScriptedClient,
  type ScriptedResponse,
} from '../../object-store/src/testing/createScriptedClient';
import * as fleet from './index';

const test = uvu.suite('evacuations of failure domains');

const evacuationMs = 5_000;
/** A follower that may not call the store checks this often whether it may. */
const enabledCheckMs = 60;

const stored = (name: string, version: number) => ({ kind: 'e', name, version, value: {} });

const waitForUpdates = (durationMs = 20) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const create = async (isHolder: boolean, ...script: readonly ScriptedResponse[]) => {
  const clock = clocks.createManualClock(1_000_000);
  const client = createScriptedClient(...script);
  const tracker = fleet.createEvacuationTracker({
    client,
    clock,
    log: telemetry.createLog({ level: 'silent', instanceId: 'test' }),
    metrics: telemetry.createMetrics(),
    source: { kind: 'e' },
    random: () => 0,
    evacuationMs,
    isHolder: () => isHolder,
    mayFollow: () => true,
    countTargets: (failureDomain) => (failureDomain === 'unknown' ? 0 : 1),
  });
  await tracker.component.start?.();
  await waitForUpdates();
  /** Delivers a change, after the minimum interval between two calls. */
  const deliver = async (...responses: readonly ScriptedResponse[]) => {
    clock.advance(200);
    client.add(...responses);
    await waitForUpdates(150);
  };
  const receive = (failureDomains: readonly string[], ageMs: number) =>
    tracker.applyShared({ failureDomains, ageMs }, clocks.readTimestamp(clock));
  return { clock, client, tracker, deliver, receive };
};

const list = (...names: readonly string[]): ScriptedResponse => ({
  list: names.map((name, index) => stored(name, index + 1)),
  version: 10,
});

test('let no domain receive before the orders are known', async () => {
  const { tracker, deliver } = await create(true);
  assert.not.ok(tracker.isKnown());
  assert.not.ok(tracker.mayReceive('a'));
  assert.not.ok(tracker.isEvacuated('a'));
  assert.is(tracker.share(), undefined);
  await deliver(list());
  assert.ok(tracker.mayReceive('a'));
});

test('begin and end with their entries, also where two overlap or name an unknown domain', async () => {
  const { tracker, clock, deliver } = await create(true, list('a', 'unknown'));
  assert.not.ok(tracker.mayReceive('a'));
  await deliver({ watch: { version: 11, changed: [stored('b', 11)] } });
  assert.equal(
    ['a', 'b', 'c'].map((name) => tracker.mayReceive(name)),
    [false, false, true],
  );
  await deliver({ watch: { version: 12, deletedNames: ['a'] } });
  assert.equal(
    ['a', 'b'].map((name) => tracker.mayReceive(name)),
    [true, false],
  );
  assert.is(tracker.endedAtMs('a'), clock.monotonicMs());
  assert.is(tracker.endedAtMs('b'), undefined);
  await deliver({ watch: { version: 13, changed: [stored('a', 13)] } });
  assert.is(tracker.endedAtMs('a'), undefined);
});

test('stay in force while the store fails, until they are known to be taken back', async () => {
  const { tracker, clock, deliver } = await create(true, list('a'));
  await deliver({ fail: 'unreachable' });
  clock.advance(60_000);
  assert.ok(tracker.isEvacuated('a'));
  await deliver({ fail: 'expired' }, list('b'));
  assert.not.ok(tracker.isEvacuated('a'));
  assert.ok(tracker.isEvacuated('b'), 'an order given while the history was forgotten');
});

test('are neither ended nor revived by an answer older than the last confirmation', async () => {
  const { tracker, clock, receive } = await create(false);
  clock.advance(10_000);
  receive(['a'], 100);
  receive([], 2_000);
  assert.ok(tracker.isEvacuated('a'));
  clock.advance(500);
  receive([], 100);
  receive(['a'], 400);
  assert.ok(tracker.mayReceive('a'));
});

test('are read from the store once what was received is too old, and not before', async () => {
  const { tracker, client, clock, receive } = await create(false);
  client.add(list('a'));
  await waitForUpdates(enabledCheckMs);
  const startCallCount = client.calls.length;
  receive([], 0);
  clock.advance(evacuationMs * 0.6);
  await waitForUpdates(enabledCheckMs);
  assert.is(client.calls.length, startCallCount);
  clock.advance(evacuationMs * 0.11);
  client.add(list('b'));
  await waitForUpdates(enabledCheckMs);
  assert.is(client.calls.length, startCallCount + 1);
  assert.ok(tracker.isEvacuated('b'));
  assert.is(tracker.ageMs(), 0);
});

test('are exchanged in check-ins; an answer without them or with others is ignored', async () => {
  const holder = await create(true, list('a'));
  const standby = await create(false);
  const exchangeOf = ({ tracker }: typeof holder) => fleet.createEvacuationExchange(() => tracker);
  const apply = (response: unknown) =>
    exchangeOf(standby).applyResponse(response, clocks.readTimestamp(standby.clock));
  apply({});
  apply(undefined);
  apply({ evacuations: { ageMs: -1, failureDomains: ['a'] } });
  apply({ evacuations: { ageMs: 0, failureDomains: 'a' } });
  assert.not.ok(standby.tracker.isKnown());
  apply(JSON.parse(JSON.stringify(exchangeOf(holder).createResponse())));
  assert.ok(standby.tracker.isEvacuated('a'));
});

test('are not followed or shared where the settings name none', () => {
  assert.ok(fleet.noEvacuations.mayReceive('a'));
  const response = fleet.createEvacuationExchange(() => fleet.noEvacuations).createResponse();
  assert.is(JSON.stringify(response), '{}');
});

// Guards against requests to a failure domain whose order the store lost by coming back from an older copy.
test('stay in force until the operator has had time to write them again in another era', async () => {
  const known = { list: [stored('a', 20)], version: 20, era: 1 };
  const { tracker, clock, deliver } = await create(true, known);
  await deliver({ fail: 'expired' }, { list: [], version: 5, era: 2 });
  assert.not.ok(tracker.mayReceive('a'));
  await waitForUpdates(150);
  clock.advance(fleet.registrationGraceMs);
  await deliver({ watch: { version: 6, era: 2 } }, { watch: { version: 7, era: 2 } });
  assert.ok(tracker.mayReceive('a'));
});

test.run();
