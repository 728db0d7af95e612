import * as clocks from '@comfreydrum/clock';
import type * as routing from '@comfreydrum/routing';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createCrashExchange, type CrashExchange } from './createCrashExchange';

const test = uvu.suite('crash exchange');

const lossOf = (fingerprint: string): routing.LossUpdate => ({
  kind: 'loss',
  target: { targetId: `target of ${fingerprint}`, generation: 1, failureDomain: 'a' },
  fingerprints: [fingerprint],
  ageMs: 0,
});

interface TestDaemon {
  readonly exchange: CrashExchange;
  readonly received: routing.QuarantineUpdate[];
  readonly checkInCount: () => number;
}

const createDaemons = (addresses: readonly string[], isConnected = true) => {
  const network = testing.createFakeNetwork();
  const clock = clocks.createManualClock();
  const create = (address: string): TestDaemon => {
    const received: routing.QuarantineUpdate[] = [];
    let checkInCount = 0;
    const exchange = createCrashExchange({
      clock,
      calls: network.join(address),
      runId: `${address}/1`,
      peerAddresses: () => (isConnected ? addresses.filter((other) => other !== address) : []),
      checkInSoon: () => {
        checkInCount += 1;
      },
    });
    exchange.onUpdates((updates) => received.push(...updates));
    return { exchange, received, checkInCount: () => checkInCount };
  };
  return { daemons: addresses.map(create), clock };
};

/** Lets a daemon check in with the lease holder, over JSON as between processes. */
const checkIn = (daemon: TestDaemon, holder: TestDaemon) => {
  const request: unknown = JSON.parse(JSON.stringify(daemon.exchange.createRequest()));
  const response: unknown = JSON.parse(JSON.stringify(holder.exchange.createResponse(request)));
  daemon.exchange.applyResponse(response);
};

const fingerprintsOf = ({ received }: TestDaemon) =>
  received.flatMap((update) =>
    update.kind === 'loss' ? update.fingerprints : [update.fingerprint],
  );

const settle = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test('sends an update to reachable daemons at once, and asks for an early check-in', async () => {
  const { daemons } = createDaemons(['one', 'two', 'three']);
  daemons[0]!.exchange.publish(lossOf('f'));
  await settle();
  assert.equal(daemons.map(fingerprintsOf), [[], ['f'], ['f']]);
  assert.is(daemons[0]!.checkInCount(), 1);
});

test('brings every update to every daemon once through the lease holder', () => {
  const { daemons } = createDaemons(['holder', 'one', 'two'], false);
  const [holder, one, two] = daemons as [TestDaemon, TestDaemon, TestDaemon];
  one.exchange.publish(lossOf('f1'));
  two.exchange.publish(lossOf('f2'));
  holder.exchange.publish(lossOf('f0'));
  [one, two, one, two].forEach((daemon) => checkIn(daemon, holder));
  assert.equal(fingerprintsOf(holder), ['f1', 'f2']);
  assert.equal(fingerprintsOf(one), ['f0', 'f2']);
  assert.equal(fingerprintsOf(two).sort(), ['f0', 'f1']);
});

test('ages updates while they are not delivered', () => {
  const { daemons, clock } = createDaemons(['holder', 'one'], false);
  const [holder, one] = daemons as [TestDaemon, TestDaemon];
  one.exchange.publish({ kind: 'quarantined', fingerprint: 'f', ageMs: 5 });
  clock.advance(300);
  checkIn(one, holder);
  assert.equal(holder.received, [{ kind: 'quarantined', fingerprint: 'f', ageMs: 305 }]);
});

test('sends all own updates again to the next lease holder', () => {
  const { daemons } = createDaemons(['holder', 'one', 'next'], false);
  const [holder, one, next] = daemons as [TestDaemon, TestDaemon, TestDaemon];
  one.exchange.publish(lossOf('f'));
  checkIn(one, holder);
  [1, 2].forEach(() => checkIn(one, next));
  assert.equal(fingerprintsOf(next), ['f']);
});

test('delivers more updates than fit into one check-in', () => {
  const { daemons } = createDaemons(['holder', 'one', 'two'], false);
  const [holder, one, two] = daemons as [TestDaemon, TestDaemon, TestDaemon];
  const count = 150;
  Array.from({ length: count }, (_, index) => one.exchange.publish(lossOf(`f${index}`)));
  [1, 2, 3].forEach(() => checkIn(one, holder));
  [1, 2, 3].forEach(() => checkIn(two, holder));
  assert.is(new Set(fingerprintsOf(two)).size, count);
});

test('delivers the parts of lost requests, and losses of daemons that send none', async () => {
  const { daemons } = createDaemons(['one', 'two']);
  const requestParts = [{ fingerprint: 'f', partIds: ['5c', '91'] }];
  daemons[0]!.exchange.publish({ ...lossOf('f'), requestParts });
  daemons[0]!.exchange.publish(lossOf('g'));
  await settle();
  assert.equal(
    daemons[1]!.received.map((update) => update.kind === 'loss' && update.requestParts),
    [requestParts, undefined],
  );
});

test('ignores check-ins of daemons without crash updates', () => {
  const { daemons } = createDaemons(['holder', 'one'], false);
  const [holder, one] = daemons as [TestDaemon, TestDaemon];
  holder.exchange.createResponse({ cursor: undefined });
  one.exchange.applyResponse({ plan: undefined });
  assert.equal([holder, one].flatMap(fingerprintsOf), []);
});

test.run();
