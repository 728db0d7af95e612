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
import { memberOf } from './testing/memberOf';

type WriteFault = 'none' | 'answer lost' | 'write lost' | 'write late';

const waitTimeoutMs = 10_000;
const windowMs = 400;
/** Long compared with the scheduling pauses of a busy machine. */
const longWindowMs = 1_200;

const documentOf = (team: string, retryBudgetFraction = 0.1) => ({
  team,
  failureDomains: [{ name: 'pamplona-a', region: 'navarra' }],
  targetKinds: [],
  retryBudgetFraction,
});

const until = async (what: string, condition: () => boolean) => {
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
  readonly peers: Pick<peers.Peers, 'membership' | 'news' | 'calls' | 'beacon'>;
  readonly handlers: Map<string, (params: unknown, callerId: string) => Promise<unknown>>;
  readonly hearNews: (item: peers.NewsItem) => void;
  readonly readBeacon: () => unknown;
  readonly hearBeacon: (beacon: peers.ReceivedBeacon) => void;
}

/** In-memory peers that probe each other every 20 ms, unless one of the two is cut off. */
const createFakeNetwork = (systemClock: clock.Clock, cutOff: ReadonlySet<string>) => {
  const all = new Map<string, FakePeer>();
  const answers: string[] = [];
  const connected = (from: string, to: string) =>
    from === to || !(cutOff.has(from) || cutOff.has(to));
  const join = (instanceId: string): FakePeer => {
    const handlers: FakePeer['handlers'] = new Map();
    const newsListeners = new Set<(item: peers.NewsItem) => void>();
    const beaconListeners = new Set<(beacon: peers.ReceivedBeacon) => void>();
    const items: peers.NewsItem[] = [];
    let supply: () => unknown = () => null;
    const split = (isConnected: boolean) =>
      [...all.keys()].filter((other) => connected(instanceId, other) === isConnected).map(memberOf);
    const peer: FakePeer = {
      handlers,
      hearNews: (item) => {
        items.push(item);
        newsListeners.forEach((listener) => listener(item));
      },
      readBeacon: () => supply(),
      hearBeacon: (beacon) => beaconListeners.forEach((listener) => listener(beacon)),
      peers: {
        membership: {
          self: () => memberOf(instanceId),
          members: () => split(true),
          lost: () => split(false),
          onChange: () => () => {},
          leave: () => {},
        },
        news: {
          publish: (topic, key, value, lifetimeMs) =>
            all.forEach((other, otherId) => {
              if (!connected(instanceId, otherId) || otherId === instanceId) return;
              const item = { topic, key, value, origin: instanceId, sequence: 1 };
              other.hearNews({ ...item, remainingMs: lifetimeMs });
            }),
          onNews: (_, listener) => {
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
            if (!handler || !connected(instanceId, address)) return fail('unreachable');
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
          provide: (read) => {
            supply = read;
          },
          onAnswer: (listener) => {
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
        if (instanceId === otherId || !connected(instanceId, otherId)) return;
        const askedAtMs = systemClock.monotonicMs();
        const value = other.readBeacon();
        peer.hearBeacon({ value, instanceId: otherId, address: otherId, askedAtMs });
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

const createWorld = () => {
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
    const store = await configuration.createConfigurationStore({
      platform: fake.client(() => cutOff.has(instanceId)),
      peers: network.join(instanceId).peers,
      clock: own,
      log: telemetry.createLog({ level: 'silent', instanceId }),
      timeline: telemetry.createTimeline(instanceId, clock.createHybridClock(own)),
      random: () => uniformFloat64(generator),
      freshnessWindowMs,
    });
    await store.part.start!();
    let stopped = false;
    const stop = async () => {
      if (stopped) return;
      stopped = true;
      await store.part.stop!();
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

type World = ReturnType<typeof createWorld>;
type Store = Awaited<ReturnType<World['start']>>;

const inForce = (stores: readonly Store[], team: string, revision: number) =>
  until(`revision ${revision} of ${team} everywhere`, () =>
    stores.every((store) => store.revisions()[team] === revision),
  );

const test = uvu.suite<{ world: World }>('configuration store');

test.before.each((context) => {
  context.world = createWorld();
});
test.after.each(({ world }) => world.stop());

test('brings an accepted document into force everywhere, and a removal too', async ({ world }) => {
  const stores = await world.startAll(5);
  const result = await stores[0]!.apply(documentOf('a'), 'none');
  assert.equal(result, { kind: 'accepted', team: 'a', revision: 1 });
  await inForce(stores, 'a', 1);
  assert.is(stores[4]!.current()[0]!.team, 'a');
  assert.equal(await stores[3]!.remove('a', 1), { kind: 'accepted', team: 'a', revision: 2 });
  await inForce(stores, 'a', 2);
  assert.equal(stores[4]!.current(), []);
});

test('sends only a delta to a peer that has the previous revision', async ({ world }) => {
  const stores = await world.startAll(5);
  const failureDomains = Array.from({ length: 50 }, (_, index) => ({
    name: `pamplona-${(index * 7_919) % 1_000}`,
    region: 'navarra',
  }));
  const document = { ...documentOf('a'), failureDomains };
  await stores[0]!.apply(document, 'none');
  await inForce(stores, 'a', 1);
  const changed = { ...document, retryBudgetFraction: 0.25 };
  await stores[1]!.apply(changed, 1);
  await inForce(stores, 'a', 2);
  const fetched = world.answers.filter((text) => /^configuration.fetch .*"revision":2/.test(text));
  assert.ok(fetched.length > 0);
  const wholeLength = JSON.stringify(changed).length;
  fetched.forEach((text) => assert.ok(text.length < wholeLength / 5, text));
  assert.is(stores[4]!.current()[0]!.retryBudgetFraction, 0.25);
});

test('keeps only the ids of the latest applies, in short form', async ({ world }) => {
  const [store] = await world.startAll(1);
  for (let revision = 0; revision < 66; revision += 1) {
    await store!.apply(documentOf('a'), revision === 0 ? 'none' : revision);
  }
  const { applyIds } = world.fake.copyOf('a').value as { readonly applyIds: readonly string[] };
  assert.is(applyIds.length, 64);
  assert.is(new Set(applyIds).size, 64);
  assert.ok(JSON.stringify(applyIds).length < 1_000);
});

test('writes nothing on a dry run, for an invalid document or for a wrong revision', async ({
  world,
}) => {
  const [store] = await world.startAll(1);
  const dry = await store!.apply(documentOf('a'), 'none', { dryRun: true });
  assert.is(dry.kind, 'checked');
  const faulty = await store!.apply({ team: 'a' }, 'none');
  assert.is(faulty.kind, 'invalid');
  assert.equal(await store!.apply(documentOf('a'), 3), {
    kind: 'conflict',
    team: 'a',
    winnerRevision: 0,
  });
});

test('accepts one of two concurrent applies, and reports the winning revision to the other', async ({
  world,
}) => {
  const stores = await world.startAll(2);
  await stores[0]!.apply(documentOf('a'), 'none');
  const results = await Promise.all(
    stores.map((store, index) => store.apply(documentOf('a', index / 10), 1)),
  );
  assert.equal(results.map(({ kind }) => kind).sort(), ['accepted', 'conflict']);
  const loser = results.find(({ kind }) => kind === 'conflict');
  assert.equal(loser, { kind: 'conflict', team: 'a', winnerRevision: 2 });
  await inForce(stores, 'a', 2);
});

const lostAnswers: readonly (readonly WriteFault[])[] = [
  ['answer lost'],
  ['write lost'],
  ['write late'],
  ['write late', 'write late'],
  ['answer lost', 'answer lost'],
];

lostAnswers.forEach((faults) =>
  test(`resolves a write with an ambiguous result: ${faults.join(', ')}`, async ({ world }) => {
    const stores = await world.startAll(2);
    world.fake.failWrites(...faults);
    const result = await stores[0]!.apply(documentOf('a'), 'none');
    assert.equal(result, { kind: 'accepted', team: 'a', revision: 1 });
    await inForce(stores, 'a', 1);
  }),
);

test('reports accepted although a later revision is already written', async ({ world }) => {
  const stores = await world.startAll(2);
  await stores[0]!.apply(documentOf('a'), 'none');
  world.fake.failWrites('answer lost');
  const first = stores[0]!.apply(documentOf('a', 0.3), 1);
  await until('the first write', () => stores[1]!.revisions().a === 2);
  await stores[1]!.apply(documentOf('a', 0.4), 2);
  assert.equal(await first, { kind: 'accepted', team: 'a', revision: 2 });
  await inForce(stores, 'a', 3);
});

test('reports an apply as not written while the platform is down', async ({ world }) => {
  const [store] = await world.startAll(1);
  world.fake.setDown(true);
  const result = await store!.apply(documentOf('a'), 'none');
  assert.is(result.kind === 'unavailable' && result.written, 'no');
});

test('resolves an apply whose response is lost in a short outage', async ({ world }) => {
  const stores = await world.startAll(2);
  world.fake.failWrites('answer lost');
  world.fake.onWrite(() => {
    world.fake.onWrite(() => {});
    world.fake.setDown(true);
    setTimeout(() => world.fake.setDown(false), 300);
  });
  const result = await stores[0]!.apply(documentOf('a'), 'none');
  assert.equal(result, { kind: 'accepted', team: 'a', revision: 1 });
  await inForce(stores, 'a', 1);
});

test('fetches the configuration from peers when started during an outage', async ({ world }) => {
  const stores = await world.startAll(3);
  await stores[0]!.apply(documentOf('a'), 'none');
  await inForce(stores, 'a', 1);
  world.fake.setDown(true);
  const late = await world.start('entry-9');
  await inForce([late], 'a', 1);
  await until('the late instance is fresh', late.isFresh);
});

[0, longWindowMs / 2].forEach((hangMs) =>
  test(`stays fresh through a long outage in which calls fail after ${hangMs} ms`, async ({
    world,
  }) => {
    const stores = await world.startAll(5, longWindowMs);
    await until('all fresh', () => stores.every((store) => store.isFresh()));
    world.fake.setDown(true, hangMs);
    const endMs = Date.now() + 4 * longWindowMs;
    await until('four windows of outage', () => {
      assert.ok(stores.every((store) => store.isFresh()));
      return Date.now() > endMs;
    });
    world.fake.setDown(false);
    assert.is((await stores[1]!.apply(documentOf('a'), 'none')).kind, 'accepted');
    await inForce(stores, 'a', 1);
  }),
);

test('becomes stale within its window when cut off from all, and catches up', async ({ world }) => {
  const stores = await world.startAll(3);
  await stores[0]!.apply(documentOf('a'), 'none');
  await inForce(stores, 'a', 1);
  await until('all fresh', () => stores.every((store) => store.isFresh()));
  world.cutOff.add('entry-3');
  assert.is(stores[2]!.freshness(performance.now() + windowMs).kind, 'stale');
  await until('entry-3 is stale', () => !stores[2]!.isFresh());
  await stores[0]!.apply(documentOf('a', 0.5), 1);
  await inForce(stores.slice(0, 2), 'a', 2);
  assert.is(stores[2]!.revisions().a, 1);
  assert.ok(stores[0]!.isFresh());
  world.cutOff.clear();
  await inForce(stores, 'a', 2);
  await until('entry-3 is fresh', stores[2]!.isFresh);
});

test('never moves to a lower revision, even when the platform is restored from an old copy', async ({
  world,
}) => {
  const stores = await world.startAll(2);
  await stores[0]!.apply(documentOf('a'), 'none');
  const old = world.fake.copyOf('a');
  await stores[0]!.apply(documentOf('a', 0.5), 1);
  await inForce(stores, 'a', 2);
  const seen: number[] = [];
  stores[1]!.onChange(() => seen.push(stores[1]!.revisions().a!));
  world.fake.restore('a', old);
  const restoredAtMs = performance.now();
  await until('both have read the old copy', () =>
    stores.every((store) => {
      const freshness = store.freshness(performance.now());
      return freshness.kind === 'fresh' && freshness.provedAtMs > restoredAtMs;
    }),
  );
  assert.equal(seen, []);
  assert.equal(await stores[1]!.apply(documentOf('a', 0.6), 1), {
    kind: 'accepted',
    team: 'a',
    revision: 3,
  });
  await inForce(stores, 'a', 3);
  assert.equal(seen, [3]);
});

test('restores all revisions from the platform after every instance has restarted', async ({
  world,
}) => {
  const stores = await world.startAll(2);
  await stores[0]!.apply(documentOf('a'), 'none');
  await stores[0]!.apply(documentOf('b'), 'none');
  for (const store of stores) await store.stop();
  const restarted = await world.startAll(3);
  await inForce(restarted, 'a', 1);
  await inForce(restarted, 'b', 1);
});

test('derives freshness from the monotonic clock when the wall clock jumps', async ({ world }) => {
  const [steady] = await world.startAll(1);
  let offsetMs = 0;
  const jumping = await world.start('entry-2', () => offsetMs);
  await until('both fresh', () => steady!.isFresh() && jumping.isFresh());
  offsetMs = -86_400_000;
  assert.ok(jumping.isFresh());
  offsetMs = 86_400_000;
  assert.ok(jumping.isFresh());
  world.cutOff.add('entry-2');
  assert.is(jumping.freshness(performance.now() + windowMs).kind, 'stale');
  await until('the cut one is stale', () => !jumping.isFresh());
});

test.run();
