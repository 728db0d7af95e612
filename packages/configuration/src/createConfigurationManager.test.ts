import { performance } from 'node:perf_hooks';
import * as clock from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import * as telemetry from '@comfreydrum/telemetry';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as configuration from './index';
import { createMember } from './testing/createMember';

type WriteFault = 'none' | 'answer lost' | 'write lost' | 'write late';

const waitTimeoutMs = 10_000;
const windowMs = 400;
/** Long compared with the scheduling pauses of a busy machine. */
const longWindowMs = 1_200;

const createDocument = (team: string, retryBudgetFraction = 0.1) => ({
  team,
  failureDomains: [{ name: 'pamplona-a', region: 'navarra' }],
  targetKinds: [],
  retryBudgetFraction,
});

const waitUntil = async (what: string, condition: () => boolean) => {
  const endMs = Date.now() + waitTimeoutMs;
  while (!condition()) {
    if (Date.now() > endMs) throw new Error(`timed out waiting for ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 3);
    });
  }
};

const failure = (kind: objectStore.PlatformFailure['kind']) =>
  errors.err<objectStore.PlatformFailure>({ kind, step: 'test', peer: 'platform', message: kind });

/** An in-memory object API with fault injection. */
const createFakePlatform = () => {
  const objects = new Map<string, objectStore.StoredObject>();
  let version = 0;
  let down = false;
  let hangMs = 0;
  let writeFaults: readonly WriteFault[] = [];
  let beforeWrite = () => {};

  /** Waits for the next timer tick or, in an outage, for as long as a call takes to time out. */
  const tick = () =>
    new Promise<void>((resolve) => {
      setTimeout(resolve, down ? hangMs : 0);
    });

  const write = (
    key: objectStore.ObjectKey,
    value: unknown,
    condition: objectStore.WriteCondition,
  ) => {
    const known = objects.get(key.name);
    const expected = condition === 'absent' ? undefined : condition.version;
    if (known?.version !== expected) return failure('conflict');
    version += 1;
    objects.set(key.name, { ...key, version, value: JSON.parse(JSON.stringify(value)) });
    return errors.ok(version);
  };

  const client = (isCut: () => boolean): objectStore.PlatformClient => ({
    get: async (key) => {
      await tick();
      if (down || isCut()) return failure('unreachable');
      const found = objects.get(key.name);
      return found ? errors.ok(found) : failure('not-found');
    },
    list: async () => {
      await tick();
      if (down || isCut()) return failure('unreachable');
      return errors.ok({ version, objects: [...objects.values()] });
    },
    put: async (key, value, condition) => {
      await tick();
      if (down || isCut()) return failure('unreachable');
      beforeWrite();
      const [fault = 'none', ...rest] = writeFaults;
      writeFaults = rest;
      if (fault === 'write late') setTimeout(() => write(key, value, condition), 30);
      if (fault === 'write late' || fault === 'write lost') return failure('ambiguous');
      const result = write(key, value, condition);
      return fault === 'answer lost' ? failure('ambiguous') : result;
    },
    remove: async () => failure('refused'),
    watch: async (_, since, timeoutMs, signal) => {
      await tick();
      const endMs = Date.now() + timeoutMs;
      while (version === since && Date.now() < endMs && !signal?.aborted) {
        if (down || isCut()) return failure('unreachable');
        await new Promise((resolve) => {
          setTimeout(resolve, 5);
        });
      }
      if (down || isCut()) return failure('unreachable');
      const changed = [...objects.values()].filter((object) => object.version > since);
      return errors.ok({ version, changed, deletedNames: [] });
    },
    instances: async () => errors.ok([]),
  });

  return {
    client,
    /** Starts or ends an outage in which calls fail after `afterMs`. */
    setDown: (value: boolean, afterMs = 0) => {
      down = value;
      hangMs = afterMs;
    },
    failWrites: (...faults: readonly WriteFault[]) => {
      writeFaults = faults;
    },
    onWrite: (listener: () => void) => {
      beforeWrite = listener;
    },
    /** Sets an object back to an older copy, as a restored platform does. */
    restore: (name: string, object: objectStore.StoredObject) => {
      version += 1;
      objects.set(name, { ...object, version });
    },
    copyOf: (name: string) => objects.get(name)!,
  };
};

interface FakePeer {
  readonly peers: Pick<peers.Peers, 'membership' | 'messageBus' | 'calls' | 'beacon'>;
  readonly handlers: Map<string, (params: unknown, callerId: string) => Promise<unknown>>;
  readonly deliverMessage: (item: peers.BusMessage) => void;
  readonly readBeacon: () => unknown;
  readonly deliverBeacon: (beacon: peers.ReceivedBeacon) => void;
}

/** In-memory peers that probe each other every 20 ms, unless one of the two is cut off. */
const createFakeNetwork = (systemClock: clock.Clock, cutOff: ReadonlySet<string>) => {
  const all = new Map<string, FakePeer>();
  const answers: string[] = [];
  const canReach = (from: string, to: string) =>
    from === to || !(cutOff.has(from) || cutOff.has(to));
  const join = (instanceId: string): FakePeer => {
    const handlers: FakePeer['handlers'] = new Map();
    const newsListeners = new Set<(item: peers.BusMessage) => void>();
    const beaconListeners = new Set<(beacon: peers.ReceivedBeacon) => void>();
    const items: peers.BusMessage[] = [];
    let beaconProvider: () => unknown = () => null;
    const peersByConnection = (isConnected: boolean) =>
      [...all.keys()]
        .filter((other) => canReach(instanceId, other) === isConnected)
        .map(createMember);
    const peer: FakePeer = {
      handlers,
      deliverMessage: (item) => {
        items.push(item);
        newsListeners.forEach((listener) => listener(item));
      },
      readBeacon: () => beaconProvider(),
      deliverBeacon: (beacon) => beaconListeners.forEach((listener) => listener(beacon)),
      peers: {
        membership: {
          self: () => createMember(instanceId),
          members: () => peersByConnection(true),
          dead: () => peersByConnection(false),
          onChange: () => () => {},
          leave: () => {},
        },
        messageBus: {
          publish: (topic, key, value, lifetimeMs) =>
            all.forEach((other, otherId) => {
              if (!canReach(instanceId, otherId) || otherId === instanceId) return;
              const item = { topic, key, value, origin: instanceId, sequence: 1 };
              other.deliverMessage({ ...item, remainingMs: lifetimeMs });
            }),
          onMessage: (_, listener) => {
            newsListeners.add(listener);
            return () => newsListeners.delete(listener);
          },
          latest: () => items,
        },
        calls: {
          call: async (address, method, params) => {
            const handler = all.get(address)?.handlers.get(method);
            const fail = (kind: 'unreachable' | 'rejected') =>
              errors.err<peers.PeerFailure>({ kind, step: method, peer: address, message: kind });
            if (!handler || !canReach(instanceId, address)) return fail('unreachable');
            return handler(params, instanceId).then(
              (value) => {
                const text = JSON.stringify(value);
                answers.push(`${method} ${text}`);
                return errors.ok(JSON.parse(text) as unknown);
              },
              () => fail('rejected'),
            );
          },
          handle: (method, handler) => {
            handlers.set(method, handler);
          },
        },
        beacon: {
          setProvider: (read) => {
            beaconProvider = read;
          },
          onBeacon: (listener) => {
            beaconListeners.add(listener);
            return () => beaconListeners.delete(listener);
          },
        },
      },
    };
    all.set(instanceId, peer);
    return peer;
  };

  const probe = () =>
    all.forEach((peer, instanceId) =>
      all.forEach((other, otherId) => {
        if (instanceId === otherId || !canReach(instanceId, otherId)) return;
        const askedAtMs = systemClock.monotonicMs();
        const value = other.readBeacon();
        peer.deliverBeacon({
          value,
          instanceId: otherId,
          address: otherId,
          probeSentAtMs: askedAtMs,
        });
      }),
    );
  const timer = setInterval(probe, 20);
  return {
    join,
    answers,
    leave: (instanceId: string) => all.delete(instanceId),
    stop: () => clearInterval(timer),
  };
};

const createTestFleet = () => {
  const systemClock = clock.createSystemClock();
  const cutOff = new Set<string>();
  const network = createFakeNetwork(systemClock, cutOff);
  const fake = createFakePlatform();
  const stops: (() => Promise<void>)[] = [];

  const start = async (
    instanceId: string,
    wallOffsetMs = () => 0,
    freshnessWindowMs = windowMs,
  ) => {
    const own = { ...systemClock, wallMs: () => systemClock.wallMs() + wallOffsetMs() };
    const generator = xoroshiro128plus(instanceId.length);
    const store = await configuration.createConfigurationManager({
      platform: fake.client(() => cutOff.has(instanceId)),
      peers: network.join(instanceId).peers,
      clock: own,
      log: telemetry.createLog({ level: 'silent', instanceId }),
      timeline: telemetry.createTimeline(instanceId, clock.createHybridClock(own)),
      random: () => uniformFloat64(generator),
      freshnessWindowMs,
    });
    await store.component.start!();
    let stopped = false;
    const stop = async () => {
      if (stopped) return;
      stopped = true;
      await store.component.stop!();
      network.leave(instanceId);
    };
    stops.push(stop);
    return { ...store, stop, isFresh: () => store.freshness(own.monotonicMs()).kind === 'fresh' };
  };

  return {
    fake,
    cutOff,
    answers: network.answers,
    start,
    startAll: (count: number, freshnessWindowMs = windowMs) =>
      Promise.all(
        Array.from({ length: count }, (_, index) =>
          start(`entry-${index + 1}`, undefined, freshnessWindowMs),
        ),
      ),
    stop: async () => {
      for (const stop of stops) await stop();
      network.stop();
    },
  };
};

type TestFleet = ReturnType<typeof createTestFleet>;
type Store = Awaited<ReturnType<TestFleet['start']>>;

const waitUntilInForce = (stores: readonly Store[], team: string, revision: number) =>
  waitUntil(`revision ${revision} of ${team} everywhere`, () =>
    stores.every((store) => store.revisions()[team] === revision),
  );

const test = uvu.suite<{ fleet: TestFleet }>('configuration store');

test.before.each((context) => {
  context.fleet = createTestFleet();
});
test.after.each(({ fleet }) => fleet.stop());

test('brings an accepted document into force everywhere, and a removal too', async ({ fleet }) => {
  const stores = await fleet.startAll(5);
  const result = await stores[0]!.apply(createDocument('a'), 'none');
  assert.equal(result, { kind: 'accepted', team: 'a', revision: 1 });
  await waitUntilInForce(stores, 'a', 1);
  assert.is(stores[4]!.current()[0]!.team, 'a');
  assert.equal(await stores[3]!.remove('a', 1), { kind: 'accepted', team: 'a', revision: 2 });
  await waitUntilInForce(stores, 'a', 2);
  assert.equal(stores[4]!.current(), []);
});

test('sends only a delta to a peer that has the previous revision', async ({ fleet }) => {
  const stores = await fleet.startAll(5);
  const failureDomains = Array.from({ length: 50 }, (_, index) => ({
    name: `pamplona-${(index * 7_919) % 1_000}`,
    region: 'navarra',
  }));
  const document = { ...createDocument('a'), failureDomains };
  await stores[0]!.apply(document, 'none');
  await waitUntilInForce(stores, 'a', 1);
  const changed = { ...document, retryBudgetFraction: 0.25 };
  await stores[1]!.apply(changed, 1);
  await waitUntilInForce(stores, 'a', 2);
  const fetched = fleet.answers.filter((text) => /^configuration.fetch .*"revision":2/.test(text));
  assert.ok(fetched.length > 0);
  const wholeLength = JSON.stringify(changed).length;
  fetched.forEach((text) => assert.ok(text.length < wholeLength / 5, text));
  assert.is(stores[4]!.current()[0]!.retryBudgetFraction, 0.25);
});

test('keeps only the ids of the latest applies, in short form', async ({ fleet }) => {
  const [store] = await fleet.startAll(1);
  for (let revision = 0; revision < 66; revision += 1) {
    await store!.apply(createDocument('a'), revision === 0 ? 'none' : revision);
  }
  const { applyIds } = fleet.fake.copyOf('a').value as { readonly applyIds: readonly string[] };
  assert.is(applyIds.length, 64);
  assert.is(new Set(applyIds).size, 64);
  assert.ok(JSON.stringify(applyIds).length < 1_000);
});

test('writes nothing on a dry run, for an invalid document or for a wrong revision', async ({
  fleet,
}) => {
  const [store] = await fleet.startAll(1);
  const dry = await store!.apply(createDocument('a'), 'none', { dryRun: true });
  assert.is(dry.kind, 'checked');
  const faulty = await store!.apply({ team: 'a' }, 'none');
  assert.is(faulty.kind, 'invalid');
  assert.equal(await store!.apply(createDocument('a'), 3), {
    kind: 'conflict',
    team: 'a',
    winnerRevision: 0,
  });
});

test('accepts one of two concurrent applies, and reports the winning revision to the other', async ({
  fleet,
}) => {
  const stores = await fleet.startAll(2);
  await stores[0]!.apply(createDocument('a'), 'none');
  const results = await Promise.all(
    stores.map((store, index) => store.apply(createDocument('a', index / 10), 1)),
  );
  assert.equal(results.map(({ kind }) => kind).sort(), ['accepted', 'conflict']);
  const loser = results.find(({ kind }) => kind === 'conflict');
  assert.equal(loser, { kind: 'conflict', team: 'a', winnerRevision: 2 });
  await waitUntilInForce(stores, 'a', 2);
});

const ambiguousWriteFaults: readonly (readonly WriteFault[])[] = [
  ['answer lost'],
  ['write lost'],
  ['write late'],
  ['write late', 'write late'],
  ['answer lost', 'answer lost'],
];

ambiguousWriteFaults.forEach((faults) =>
  test(`resolves a write with an ambiguous result: ${faults.join(', ')}`, async ({ fleet }) => {
    const stores = await fleet.startAll(2);
    fleet.fake.failWrites(...faults);
    const result = await stores[0]!.apply(createDocument('a'), 'none');
    assert.equal(result, { kind: 'accepted', team: 'a', revision: 1 });
    await waitUntilInForce(stores, 'a', 1);
  }),
);

test('reports accepted although a later revision is already written', async ({ fleet }) => {
  const stores = await fleet.startAll(2);
  await stores[0]!.apply(createDocument('a'), 'none');
  fleet.fake.failWrites('answer lost');
  const first = stores[0]!.apply(createDocument('a', 0.3), 1);
  await waitUntil('the first write', () => stores[1]!.revisions().a === 2);
  await stores[1]!.apply(createDocument('a', 0.4), 2);
  assert.equal(await first, { kind: 'accepted', team: 'a', revision: 2 });
  await waitUntilInForce(stores, 'a', 3);
});

test('reports an apply as not written while the platform is down', async ({ fleet }) => {
  const [store] = await fleet.startAll(1);
  fleet.fake.setDown(true);
  const result = await store!.apply(createDocument('a'), 'none');
  assert.is(result.kind === 'unavailable' && result.written, 'no');
});

test('resolves an apply whose response is lost in a short outage', async ({ fleet }) => {
  const stores = await fleet.startAll(2);
  fleet.fake.failWrites('answer lost');
  fleet.fake.onWrite(() => {
    fleet.fake.onWrite(() => {});
    fleet.fake.setDown(true);
    setTimeout(() => fleet.fake.setDown(false), 300);
  });
  const result = await stores[0]!.apply(createDocument('a'), 'none');
  assert.equal(result, { kind: 'accepted', team: 'a', revision: 1 });
  await waitUntilInForce(stores, 'a', 1);
});

test('fetches the configuration from peers when started during an outage', async ({ fleet }) => {
  const stores = await fleet.startAll(3);
  await stores[0]!.apply(createDocument('a'), 'none');
  await waitUntilInForce(stores, 'a', 1);
  fleet.fake.setDown(true);
  const late = await fleet.start('entry-9');
  await waitUntilInForce([late], 'a', 1);
  await waitUntil('the late instance is fresh', late.isFresh);
});

[0, longWindowMs / 2].forEach((hangMs) =>
  test(`stays fresh through a long outage in which calls fail after ${hangMs} ms`, async ({
    fleet,
  }) => {
    const stores = await fleet.startAll(5, longWindowMs);
    await waitUntil('all fresh', () => stores.every((store) => store.isFresh()));
    fleet.fake.setDown(true, hangMs);
    const endMs = Date.now() + 4 * longWindowMs;
    await waitUntil('four windows of outage', () => {
      assert.ok(stores.every((store) => store.isFresh()));
      return Date.now() > endMs;
    });
    fleet.fake.setDown(false);
    assert.is((await stores[1]!.apply(createDocument('a'), 'none')).kind, 'accepted');
    await waitUntilInForce(stores, 'a', 1);
  }),
);

test('becomes stale within its window when cut off from all, and catches up', async ({ fleet }) => {
  const stores = await fleet.startAll(3);
  await stores[0]!.apply(createDocument('a'), 'none');
  await waitUntilInForce(stores, 'a', 1);
  await waitUntil('all fresh', () => stores.every((store) => store.isFresh()));
  fleet.cutOff.add('entry-3');
  assert.is(stores[2]!.freshness(performance.now() + windowMs).kind, 'stale');
  await waitUntil('entry-3 is stale', () => !stores[2]!.isFresh());
  await stores[0]!.apply(createDocument('a', 0.5), 1);
  await waitUntilInForce(stores.slice(0, 2), 'a', 2);
  assert.is(stores[2]!.revisions().a, 1);
  assert.ok(stores[0]!.isFresh());
  fleet.cutOff.clear();
  await waitUntilInForce(stores, 'a', 2);
  await waitUntil('entry-3 is fresh', stores[2]!.isFresh);
});

test('never moves to a lower revision, even when the platform is restored from an old copy', async ({
  fleet,
}) => {
  const stores = await fleet.startAll(2);
  await stores[0]!.apply(createDocument('a'), 'none');
  const old = fleet.fake.copyOf('a');
  await stores[0]!.apply(createDocument('a', 0.5), 1);
  await waitUntilInForce(stores, 'a', 2);
  const seen: number[] = [];
  stores[1]!.onChange(() => seen.push(stores[1]!.revisions().a!));
  fleet.fake.restore('a', old);
  const restoredAtMs = performance.now();
  await waitUntil('both have read the old copy', () =>
    stores.every((store) => {
      const freshness = store.freshness(performance.now());
      return freshness.kind === 'fresh' && freshness.provedAtMs > restoredAtMs;
    }),
  );
  assert.equal(seen, []);
  assert.equal(await stores[1]!.apply(createDocument('a', 0.6), 1), {
    kind: 'accepted',
    team: 'a',
    revision: 3,
  });
  await waitUntilInForce(stores, 'a', 3);
  assert.equal(seen, [3]);
});

test('restores all revisions from the platform after every instance has restarted', async ({
  fleet,
}) => {
  const stores = await fleet.startAll(2);
  await stores[0]!.apply(createDocument('a'), 'none');
  await stores[0]!.apply(createDocument('b'), 'none');
  for (const store of stores) await store.stop();
  const restarted = await fleet.startAll(3);
  await waitUntilInForce(restarted, 'a', 1);
  await waitUntilInForce(restarted, 'b', 1);
});

test('derives freshness from the monotonic clock when the wall clock jumps', async ({ fleet }) => {
  const [steady] = await fleet.startAll(1);
  let offsetMs = 0;
  const jumping = await fleet.start('entry-2', () => offsetMs);
  await waitUntil('both fresh', () => steady!.isFresh() && jumping.isFresh());
  offsetMs = -86_400_000;
  assert.ok(jumping.isFresh());
  offsetMs = 86_400_000;
  assert.ok(jumping.isFresh());
  fleet.cutOff.add('entry-2');
  assert.is(jumping.freshness(performance.now() + windowMs).kind, 'stale');
  await waitUntil('the cut one is stale', () => !jumping.isFresh());
});

test.run();
