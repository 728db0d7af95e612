import * as clocks from '@comfreydrum/clock';
import * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createLease, type Lease } from './createLease';

const test = uvu.suite('controller lease');

const delay = (durationMs: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const waitUntil = async (holds: () => boolean, withinMs: number) => {
  const endAtMs = performance.now() + withinMs;
  while (!holds() && performance.now() < endAtMs) await delay(20);
  return holds();
};

const mayAct = (lease: Lease): boolean => {
  const state = lease.state();
  return state.kind === 'holder' && state.mayAct;
};

const tokenOf = (lease: Lease): number => {
  const state = lease.state();
  return state.kind === 'holder' ? state.token : 0;
};

/** Returns the most daemons that could act at the same time within a period. */
const countActing = async (leases: readonly Lease[], durationMs: number): Promise<number> => {
  const endAtMs = performance.now() + durationMs;
  let most = 0;
  while (performance.now() < endAtMs) {
    most = Math.max(most, leases.filter(mayAct).length);
    await delay(5);
  }
  return most;
};

/** Starts daemons in order; the first one holds the lease before the others start. */
const startDaemons = async (
  addresses: readonly string[],
  isFirstStart = true,
  coresOf: (address: string) => number = () => 1,
) => {
  const store = testing.createFakeStore();
  const network = testing.createFakeNetwork();
  const log = telemetry.createLog({ level: 'silent', instanceId: 'test' });
  let runCount = 0;
  const start = async (address: string): Promise<Lease> => {
    runCount += 1;
    const lease = createLease({
      client: store.clientOf(address),
      calls: network.join(address),
      clock: clocks.createSystemClock(),
      log,
      key: { kind: 'leases', name: 'controller' },
      isFirstStart,
      runId: `${address}/${runCount}`,
      address,
      cores: coresOf(address),
      random: () => 0.5,
      checkInPayload: { createRequest: () => 1, createResponse: () => 2, applyResponse: () => {} },
      ownLoads: () => ({ [`target of ${address}`]: 1, shared: 2 }),
    });
    await lease.component.start?.();
    return lease;
  };
  const leases: Lease[] = [];
  for (const address of addresses) {
    leases.push(await start(address));
    if (leases.length === 1) await waitUntil(() => mayAct(leases[0]!), 2_000);
  }
  const stop = async () => {
    for (const lease of leases) await lease.component.stop?.();
  };
  return { store, network, leases, start, stop };
};

test('lets one daemon act, and reports the number of daemons and their loads to the others', async () => {
  const { leases, stop } = await startDaemons(['a', 'b', 'c']);
  assert.ok(await waitUntil(() => leases.every((lease) => lease.daemonCount() === 3), 3_000));
  assert.equal(leases.map(mayAct), [true, false, false]);
  await waitUntil(() => leases[1]!.otherLoads().shared === 4, 2_000);
  assert.equal(leases[1]!.otherLoads(), { 'target of a': 1, 'target of c': 1, shared: 4 });
  assert.is(leases[0]!.peerAddresses().length, 2);
  await stop();
});

test('passes to another daemon with a higher token within 2 s after the holder was killed', async () => {
  const { leases, network, stop } = await startDaemons(['a', 'b', 'c']);
  const before = tokenOf(leases[0]!);
  await delay(600);
  network.kill('a');
  await leases[0]!.component.stop?.();
  const others = leases.slice(1);
  assert.ok(await waitUntil(() => others.some(mayAct), 2_000));
  assert.is(others.filter(mayAct).length, 1);
  assert.ok(Math.max(...others.map(tokenOf)) > before);
  await stop();
});

test('lets a successor act only after an unresponsive holder has stopped acting', async () => {
  const { leases, network, store, stop } = await startDaemons(['a', 'b']);
  await delay(600);
  network.makeUnresponsive('a');
  assert.ok(await waitUntil(() => tokenOf(leases[1]!) > 0, 4_000));
  assert.not(mayAct(leases[1]!), 'the previous holder may still act');
  assert.ok(await waitUntil(() => mayAct(leases[1]!), 3_500));
  assert.not(mayAct(leases[0]!));
  store.setDown(false);
  await stop();
});

// Guards against holders that have no time for check-ins, where others in the fleet do.
test('passes to a daemon with as much processor time as any, if one lives', async () => {
  const addresses = ['a', 'b', 'c', 'd', 'e', 'f'];
  const coresOf = (address: string) => ('af'.includes(address) ? 1.35 : 0.3);
  const { leases, network, stop } = await startDaemons(addresses, true, coresOf);
  await waitUntil(() => leases.every((lease) => lease.daemonCount() === 6), 3_000);
  await delay(600);
  network.kill('a');
  await leases[0]!.component.stop?.();
  assert.ok(await waitUntil(() => leases.slice(1).some(mayAct), 3_000));
  assert.equal(leases.slice(1).map(mayAct), [false, false, false, false, true]);
  await waitUntil(() => leases.slice(1, 5).every((lease) => lease.daemonCount() === 5), 3_000);
  network.kill('f');
  await leases[5]!.component.stop?.();
  assert.ok(await waitUntil(() => leases.slice(1, 5).some(mayAct), 4_000), 'the others do');
  await stop();
});

test('passes to a daemon with as much processor time as any when its holder stops', async () => {
  const addresses = ['a', 'b', 'c', 'd'];
  const coresOf = (address: string) => ('ad'.includes(address) ? 1.35 : 0.3);
  const { leases, stop } = await startDaemons(addresses, true, coresOf);
  await waitUntil(() => leases.every((lease) => lease.daemonCount() === 4), 3_000);
  await leases[0]!.component.stop?.();
  assert.ok(await waitUntil(() => leases.slice(1).some(mayAct), 2_000));
  assert.equal(leases.slice(1).map(mayAct), [false, false, true]);
  await stop();
});

// Guards against control that moves between live daemons, each of which discards the groups that are being formed.
test('stays with a holder that renews its lease but answers slowly', async () => {
  const { leases, network, stop } = await startDaemons(['a', 'b', 'c', 'd']);
  await waitUntil(() => leases.every((lease) => lease.daemonCount() === 4), 3_000);
  const token = tokenOf(leases[0]!);
  network.slowDown('a', 600);
  await delay(6_000);
  assert.equal(leases.map(tokenOf), [token, 0, 0, 0]);
  assert.ok(mayAct(leases[0]!));
  await stop();
});

test('stops acting while the store does not confirm the lease', async () => {
  const { leases, store, stop } = await startDaemons(['a']);
  store.setDown(true);
  assert.ok(await waitUntil(() => !mayAct(leases[0]!), 4_000));
  store.setDown(false);
  assert.ok(await waitUntil(() => mayAct(leases[0]!), 2_500));
  await stop();
});

test('passes to another daemon when the store rejects only the holder', async () => {
  const { leases, store, stop } = await startDaemons(['a', 'b']);
  await delay(600);
  store.rejectCallsOf('a');
  assert.ok(await waitUntil(() => mayAct(leases[1]!), 5_000));
  assert.not(mayAct(leases[0]!));
  await stop();
});

test('lets daemons that the store rejects find the next holder, including the previous holder', async () => {
  const { leases, store, stop } = await startDaemons(['a', 'b', 'c', 'd']);
  await waitUntil(() => leases.every((lease) => lease.daemonCount() === 4), 3_000);
  const turnedAway = leases.slice(0, 2);
  store.rejectCallsOf('a');
  store.rejectCallsOf('b');
  const others = leases.slice(2);
  assert.ok(await waitUntil(() => others.some(mayAct), 5_000));
  const next = others.find(mayAct) === leases[2] ? 'c' : 'd';
  const knowNext = () =>
    turnedAway.every((lease) => {
      const state = lease.state();
      return state.kind === 'standby' && state.holderAddress === next;
    });
  assert.ok(await waitUntil(knowNext, 2_500));
  assert.ok(
    await waitUntil(() => others.find(mayAct)!.peerAddresses().length === 3, 2_000),
    'the other daemons check in with the next holder',
  );
  await stop();
});

test('recovers from a write with a lost response', async () => {
  const { leases, store, stop } = await startDaemons(['a']);
  store.loseNextResponse();
  await delay(1_200);
  assert.ok(await waitUntil(() => mayAct(leases[0]!), 3_000));
  await stop();
});

test('is released by a daemon that stops', async () => {
  const { leases, stop } = await startDaemons(['a', 'b']);
  await delay(500);
  await leases[0]!.component.stop?.();
  assert.ok(await waitUntil(() => mayAct(leases[1]!), 1_500));
  await stop();
});

test('knows that reports are old when it has become the holder and nobody has checked in', async () => {
  const { leases, stop } = await startDaemons(['a', 'b']);
  await waitUntil(() => leases[1]!.otherLoads()['target of a'] === 1, 2_000);
  await leases[0]!.component.stop?.();
  assert.ok(await waitUntil(() => mayAct(leases[1]!), 4_000));
  await delay(500);
  assert.ok(leases[1]!.otherLoadsAgeMs() >= 500, `${leases[1]!.otherLoadsAgeMs()} ms`);
  await stop();
});

// Guards against a holder whose orders targets refuse, as they know a higher token that the store has lost.
test('gives a token above all earlier ones after the store came back from an older copy', async () => {
  const { leases, network, store, start, stop } = await startDaemons(['a', 'b']);
  const copy = store.copy();
  network.kill('a');
  await leases[0]!.component.stop?.();
  assert.ok(await waitUntil(() => mayAct(leases[1]!), 5_000));
  const lostToken = tokenOf(leases[1]!);
  network.kill('b');
  await leases[1]!.component.stop?.();
  store.comeBackFrom(copy);
  const next = await start('c');
  assert.ok(await waitUntil(() => next.state().kind === 'holder', 5_000));
  assert.ok(tokenOf(next) > lostToken, `${tokenOf(next)} after ${lostToken}`);
  await next.component.stop?.();
  await stop();
});

test('gives a token above all earlier ones after the store has lost the record twice in a row', async () => {
  const { leases, network, store, stop } = await startDaemons(['a', 'b']);
  const empty = { objects: new Map(), version: 0 };
  const holderAfterLoss = async () => {
    store.comeBackFrom(empty);
    await delay(1_000);
    assert.ok(await waitUntil(() => leases.some((lease) => tokenOf(lease) > 0), 3_000));
    return leases.findIndex((lease) => tokenOf(lease) > 0);
  };
  const first = await holderAfterLoss();
  const lostToken = tokenOf(leases[first]!);
  network.kill(first === 0 ? 'a' : 'b');
  await leases[first]!.component.stop?.();
  store.comeBackFrom(empty);
  const other = leases[1 - first]!;
  assert.ok(await waitUntil(() => tokenOf(other) > 0, 5_000));
  assert.ok(tokenOf(other) > lostToken, `${tokenOf(other)} after ${lostToken}`);
  await stop();
});

// Guards against orders on entries that targets have not written again since the store came back.
test('does not act at once when the record of the lease is of an earlier era', async () => {
  const { leases, network, store, start, stop } = await startDaemons(['a']);
  const copy = store.copy();
  network.kill('a');
  await leases[0]!.component.stop?.();
  store.comeBackFrom(copy);
  const next = await start('a');
  assert.ok(await waitUntil(() => next.state().kind === 'holder', 2_000));
  await delay(1_900);
  assert.not(mayAct(next));
  assert.ok(await waitUntil(() => mayAct(next), 2_000));
  await next.component.stop?.();
  await stop();
});

test('does not act at once when there is no record, unless the fleet starts for the first time', async () => {
  const { leases, stop } = await startDaemons(['a'], false);
  assert.is(leases[0]!.state().kind, 'holder');
  assert.not(mayAct(leases[0]!));
  assert.ok(await waitUntil(() => mayAct(leases[0]!), 2_000));
  await stop();
});

test('raises its token when targets refuse it although no other holder is recorded', async () => {
  const { leases, stop } = await startDaemons(['a']);
  const refusedToken = tokenOf(leases[0]!);
  leases[0]!.resign('a target has seen a higher token');
  assert.ok(await waitUntil(() => mayAct(leases[0]!), 3_000));
  assert.ok(tokenOf(leases[0]!) > refusedToken + 1_000);
  await stop();
});

// Guards against two daemons that act at the same time, one of them on an answer to what it asked before the other took over.
test('is not used on a late answer of the store after another daemon was told that it is free', async () => {
  const { leases, store, stop } = await startDaemons(['a', 'b']);
  await delay(600);
  store.delayWriteResponsesOf('a', 1_500);
  assert.is(await countActing(leases, 3_500), 1);
  assert.equal(leases.map(mayAct), [false, true]);
  await stop();
});

test('is not used on a late answer to the write that acquired it, if another daemon took over meanwhile', async () => {
  const coresOf = (address: string) => (address === 'c' ? 0.3 : 1);
  const { leases, store, stop } = await startDaemons(['a', 'b', 'c'], true, coresOf);
  await waitUntil(() => leases.every((lease) => lease.daemonCount() === 3), 3_000);
  store.delayWriteResponsesOf('b', 1_500);
  await leases[0]!.component.stop?.();
  assert.is(await countActing(leases, 3_000), 1);
  assert.equal(leases.map(mayAct), [false, false, true]);
  await stop();
});

test('is used again after a late answer of the store by a holder whose lease nobody took over', async () => {
  const { leases, store, stop } = await startDaemons(['a', 'b']);
  await delay(600);
  const token = tokenOf(leases[0]!);
  store.rejectCallsOf('b');
  store.delayWriteResponsesOf('a', 1_500);
  assert.ok(await waitUntil(() => !mayAct(leases[0]!), 2_500));
  store.delayWriteResponsesOf('a', 0);
  assert.ok(await waitUntil(() => mayAct(leases[0]!), 2_000));
  assert.equal(leases.map(tokenOf), [token, 0]);
  await stop();
});

test('is not used on an answer of the store that comes after the holder has stopped', async () => {
  const { leases, store, stop } = await startDaemons(['a', 'b']);
  await delay(600);
  store.delayWriteResponsesOf('a', 700);
  await delay(1_000);
  void leases[0]!.component.stop?.();
  assert.is(await countActing(leases.slice(0, 1), 1_500), 0);
  assert.ok(mayAct(leases[1]!));
  await stop();
});

test('is not used on an answer of the store that comes after the holder has resigned', async () => {
  const { leases, store, stop } = await startDaemons(['a']);
  const refusedToken = tokenOf(leases[0]!);
  store.delayWriteResponsesOf('a', 700);
  await delay(600);
  leases[0]!.resign('a target has seen a higher token');
  assert.ok(await waitUntil(() => mayAct(leases[0]!), 4_000));
  assert.ok(tokenOf(leases[0]!) > refusedToken + 1_000);
  await stop();
});

test('is not acted on by two daemons when the holder renews it after it was said to be free', async () => {
  const { leases, store, stop } = await startDaemons(['a', 'b']);
  await delay(600);
  store.rejectCallsOf('a');
  store.delayReadsOf('b', 1_400);
  assert.ok(await waitUntil(() => !mayAct(leases[0]!), 2_500));
  // By now, 'b' has been told that the lease is free.
  await delay(400);
  store.acceptCallsOf('a');
  assert.ok(await waitUntil(() => mayAct(leases[0]!), 950), 'the holder renews its lease');
  assert.is(await countActing(leases, 4_500), 1);
  assert.equal(leases.map(mayAct), [false, true]);
  await stop();
});

test('lets a successor act only after a holder that it has no route to has stopped acting', async () => {
  const { leases, network, stop } = await startDaemons(['a', 'b']);
  await delay(600);
  network.cutOff('a');
  assert.is(await countActing(leases, 7_000), 1);
  assert.equal(leases.map(mayAct), [false, true]);
  await stop();
});

test.run();
