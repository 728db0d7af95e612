import { setTimeout as delay } from 'node:timers/promises';
import * as clocks from '@comfreydrum/clock';
import * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import type { Verdict } from './createCrashMonitor';
import { createVerdictStore } from './createVerdictStore';

const test = uvu.suite('verdict store');

const key = { kind: 'quarantines', name: 'requests' } as const;
const settleMs = 600;
/** Longer than the delay after a failed call. */
const retryMs = 1_700;

const createDaemon = (store: testing.FakeStore, address: string) => {
  const verdicts: Verdict[] = [];
  let isHolder = false;
  const clock = clocks.createSystemClock();
  const component = createVerdictStore({
    client: store.clientOf(address),
    clock,
    log: telemetry.createLog({ level: 'silent', instanceId: 'test' }),
    key,
    isHolder: () => isHolder,
    verdicts: () => verdicts,
    onLoaded: (loaded) => verdicts.push(...loaded),
  });
  void component.start?.();
  return {
    verdicts,
    fingerprints: () => verdicts.map(({ fingerprint }) => fingerprint).sort(),
    quarantine: (fingerprint: string) => verdicts.push({ fingerprint, atMs: clock.monotonicMs() }),
    hold: (holds: boolean) => {
      isHolder = holds;
    },
    stop: () => component.stop?.(),
  };
};

const withDaemons = async (
  use: (
    store: testing.FakeStore,
    one: ReturnType<typeof createDaemon>,
    two: ReturnType<typeof createDaemon>,
  ) => Promise<void>,
) => {
  const store = testing.createFakeStore();
  const daemons = [createDaemon(store, 'one'), createDaemon(store, 'two')] as const;
  try {
    await use(store, ...daemons);
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.stop()));
  }
};

test('gives the verdicts of the lease holder to the next one', () =>
  withDaemons(async (_store, one, two) => {
    one.hold(true);
    one.quarantine('f');
    await delay(settleMs);
    one.hold(false);
    assert.equal(two.fingerprints(), []);
    two.hold(true);
    two.quarantine('g');
    await delay(settleMs);
    assert.equal(two.fingerprints(), ['f', 'g']);
    two.hold(false);
    one.hold(true);
    await delay(settleMs);
    assert.equal(one.fingerprints(), ['f', 'g']);
  }));

test('writes again after an outage of the store and a lost response', () =>
  withDaemons(async (store, one, two) => {
    store.setDown(true);
    one.hold(true);
    one.quarantine('f');
    await delay(settleMs);
    store.setDown(false);
    store.loseNextResponse();
    await delay(2 * retryMs);
    one.quarantine('g');
    await delay(settleMs);
    one.hold(false);
    two.hold(true);
    await delay(settleMs);
    assert.equal(two.fingerprints(), ['f', 'g']);
  }));

test('ignores an object that is not valid', () =>
  withDaemons(async (store, one) => {
    await store.clientOf('test').put(key, { entries: 'none' }, 'absent');
    one.hold(true);
    one.quarantine('f');
    await delay(settleMs);
    const stored = await store.clientOf('test').get(key);
    assert.ok(stored.ok);
    assert.match(JSON.stringify(stored.ok && stored.value.value), '"fingerprint":"f"');
  }));

test.run();
