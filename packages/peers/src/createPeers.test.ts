import * as dgram from 'node:dgram';
import * as net from 'node:net';
import process from 'node:process';
import * as clock from '@comfreydrum/clock';
import * as telemetry from '@comfreydrum/telemetry';
import * as cbor from 'cbor-x';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as peers from './index';

const listenPort = 7_946;
const advertisedPort = 7_947;
const waitTimeoutMs = 20_000;
const defaultTiming = { probeIntervalMs: 60, probeTimeoutMs: 25, suspicionMs: 240 };

/** Returns the loopback address of a member, unique to it and to this test process. */
const hostOf = (index: number) =>
  `127.${100 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 256}.${index}`;
const addressOf = (index: number) => `${hostOf(index)}:${advertisedPort}`;

const createRandom = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

/** Forwards datagrams and connections to one member, except those from members cut off from it. */
const openLink = async (index: number, isCut: (from: string, to: string) => boolean) => {
  const host = hostOf(index);
  const udp = dgram.createSocket('udp4');
  udp.on('message', (bytes, { address }) => {
    if (!isCut(address, host)) udp.send(bytes, listenPort, host);
  });
  const sockets = new Set<net.Socket>();
  const tcp = net.createServer((incoming) => {
    sockets.add(incoming);
    incoming.on('error', () => {});
    if (isCut(incoming.remoteAddress!, host)) {
      incoming.destroy();
      return;
    }
    const outgoing = net.connect(listenPort, host);
    outgoing.on('error', () => incoming.destroy());
    incoming.on('close', () => outgoing.destroy());
    incoming.pipe(outgoing).pipe(incoming);
  });
  await new Promise<void>((resolve) => {
    udp.bind(advertisedPort, host, resolve);
  });
  await new Promise<void>((resolve) => {
    tcp.listen(advertisedPort, host, resolve);
  });
  return () => {
    udp.close();
    tcp.close();
    sockets.forEach((socket) => socket.destroy());
  };
};

interface StartChanges extends Partial<peers.PeersOptions> {
  readonly timing?: Partial<typeof defaultTiming>;
}

const createFleet = () => {
  const cuts = new Set<string>();
  const stops: (() => Promise<void> | void)[] = [];
  const hybridClocks = new Map<number, clock.HybridClock>();
  const isCut = (from: string, to: string) => cuts.has(`${from} ${to}`);

  const start = async (index: number, { timing, ...changes }: StartChanges = {}) => {
    const systemClock = changes.clock ?? clock.createSystemClock();
    const hybridClock = changes.hybridClock ?? clock.createHybridClock(systemClock);
    hybridClocks.set(index, hybridClock);
    const instanceId = `entry-${index}`;
    const member = await peers.createPeers({
      settings: {
        ...defaultTiming,
        ...timing,
        listen: `${hostOf(index)}:${listenPort}`,
        advertise: addressOf(index),
        seeds: [addressOf(1)],
        localAddress: hostOf(index),
      },
      instanceId,
      region: 'navarra',
      failureDomain: 'pamplona-a',
      clock: systemClock,
      hybridClock,
      log: telemetry.createLog({ level: 'silent', instanceId }),
      timeline: telemetry.createTimeline(instanceId, hybridClock),
      random: createRandom(index),
      ...changes,
    });
    await member.component.start!();
    let stopped = false;
    const stop = async () => {
      if (!stopped) await member.component.stop!();
      stopped = true;
    };
    stops.push(stop);
    return { ...member, stop };
  };

  return {
    start,
    startAll: async (count: number, timing: Partial<typeof defaultTiming> = {}) => {
      for (let index = 1; index <= count; index += 1) stops.push(await openLink(index, isCut));
      return Promise.all(Array.from({ length: count }, (_, index) => start(index + 1, { timing })));
    },
    cut: (from: number, to: number) => cuts.add(`${hostOf(from)} ${hostOf(to)}`),
    hybridClockOf: (index: number) => hybridClocks.get(index)!,
    heal: () => cuts.clear(),
    stop: async () => {
      for (const stop of stops.reverse()) await stop();
    },
  };
};

type Fleet = ReturnType<typeof createFleet>;

const waitUntil = async (what: string, condition: () => boolean) => {
  const endMs = Date.now() + waitTimeoutMs;
  while (!condition()) {
    if (Date.now() > endMs) throw new Error(`timed out waiting until ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
};

const statesAt = (member: peers.Peers) =>
  member.membership
    .members()
    .map(({ instanceId, state }) => `${instanceId} ${state}`)
    .join(', ');
const expectedAllLive = (count: number) =>
  Array.from({ length: count }, (_, index) => `entry-${index + 1} live`).join(', ');
const untilAllLive = (members: readonly peers.Peers[]) =>
  waitUntil('every member is live everywhere', () =>
    members.every((member) => statesAt(member) === expectedAllLive(members.length)),
  );
/** Partitions the network between two sets of members, in both directions. */
const partition = (fleet: Fleet, left: readonly number[], right: readonly number[]) =>
  left.forEach((from) =>
    right.forEach((to) => {
      fleet.cut(from, to);
      fleet.cut(to, from);
    }),
  );

const test = uvu.suite<{ fleet: Fleet }>('peers');

test.before.each((context) => {
  context.fleet = createFleet();
});
test.after.each(({ fleet }) => fleet.stop());

test('discovers all members from one seed, and detects that one left', async ({ fleet }) => {
  const members = await fleet.startAll(4);
  await untilAllLive(members);
  await members[3]!.stop();
  await waitUntil('the member that left is gone', () =>
    members.slice(0, 3).every((member) => !statesAt(member).includes('entry-4 live')),
  );
});

test('does not suspect a member that only one other member cannot reach', async ({ fleet }) => {
  const members = await fleet.startAll(4, { probeTimeoutMs: 200 });
  await untilAllLive(members);
  const doubted = new Set<string>();
  const watched = members[1]!;
  watched.membership.onChange(() =>
    watched.membership
      .members()
      .filter(({ state }) => state !== 'live')
      .forEach(({ instanceId }) => doubted.add(instanceId)),
  );
  fleet.cut(2, 3);
  const probesAtCut = watched.statistics().probesSent;
  await waitUntil(
    '40 more probes are sent',
    () => watched.statistics().probesSent > probesAtCut + 40,
  );
  assert.equal([...doubted], []);
  await untilAllLive(members);
});

test('clears the suspicion of a member that is alive', async ({ fleet }) => {
  const members = await fleet.startAll(4);
  await untilAllLive(members);
  const states = new Set<string>();
  members[0]!.membership.onChange(() => states.add(statesAt(members[0]!)));
  partition(fleet, [1, 2, 4], [3]);
  await waitUntil('member 3 is suspected', () =>
    [...states].some((text) => text.includes('3 suspect')),
  );
  fleet.heal();
  await untilAllLive(members);
});

test('recovers from a network partition without seeds, with the messages of both sides', async ({
  fleet,
}) => {
  const members = await fleet.startAll(5);
  await untilAllLive(members);
  partition(fleet, [1, 2, 3], [4, 5]);
  await waitUntil('each side sees only its own members', () =>
    members.every((member, index) => member.membership.members().length === (index < 3 ? 3 : 2)),
  );
  const resultAcrossCut = await members[1]!.calls.call(addressOf(5), 'peers.compare', {}, 1_000);
  assert.is(resultAcrossCut.ok ? '' : resultAcrossCut.error.kind, 'timeout');
  members[1]!.messageBus.publish('quarantine', 'left', { at: 1 }, 600_000);
  members[4]!.messageBus.publish('quarantine', 'right', { at: 2 }, 600_000);
  await waitUntil('the left side has its message', () =>
    members.slice(0, 3).every((member) => member.messageBus.latest('quarantine').length === 1),
  );
  // Stops the only seed, so that the two sides must rediscover each other by probing dead members.
  await members[0]!.stop();
  fleet.heal();
  const rest = members.slice(1);
  const wanted = [2, 3, 4, 5].map((index) => `entry-${index} live`).join(', ');
  await waitUntil('the remaining members are live everywhere', () =>
    rest.every((member) => statesAt(member) === wanted),
  );
  await waitUntil('each member has the messages of both sides', () =>
    rest.every((member) => member.messageBus.latest('quarantine').length === 2),
  );
});

test('disseminates the latest message of each origin until it expires', async ({ fleet }) => {
  const members = await fleet.startAll(4);
  await untilAllLive(members);
  const received: unknown[] = [];
  members[3]!.messageBus.onMessage('presence', ({ value }) => received.push(value));
  members[0]!.messageBus.publish('presence', 'target-1', 'here', 600_000);
  await waitUntil('the first message arrives', () => received.includes('here'));
  members[0]!.messageBus.publish('presence', 'target-1', 'gone', 300);
  await waitUntil('the second message arrives', () => received.includes('gone'));
  assert.is(members[3]!.messageBus.latest('presence')[0]!.value, 'gone');
  await waitUntil(
    'the message expires',
    () => members[3]!.messageBus.latest('presence').length === 0,
  );
  assert.equal(received, ['here', 'gone']);
});

test('accepts a restarted member with a new incarnation although its clock is behind', async ({
  fleet,
}) => {
  const members = await fleet.startAll(3);
  await untilAllLive(members);
  const before = members[2]!.membership.self().incarnation;
  await members[2]!.stop();
  const behind = clock.createSystemClock();
  const restarted = await fleet.start(3, {
    clock: { ...behind, wallMs: () => behind.wallMs() - 3_600_000 },
  });
  await untilAllLive([members[0]!, members[1]!, restarted]);
  const after = members[0]!.membership.members()[2]!.incarnation;
  assert.ok(after > before, `${after} supersedes ${before}`);
});

test('drops datagrams that are malformed, oversized or from another fleet', async ({ fleet }) => {
  const [member] = await fleet.startAll(1);
  const stranger = await fleet.start(2, { fleet: 'other' });
  const socket = dgram.createSocket('udp4');
  const message = { jsonrpc: '2.0', method: 'ping', id: 1, params: ['default', 7] };
  const relay = { jsonrpc: '2.0', method: 'relay', id: 1, params: 'x' };
  [Buffer.from('{'), Buffer.alloc(1_300), cbor.encode(message), cbor.encode(relay)].forEach(
    (bytes) => socket.send(bytes, listenPort, hostOf(1)),
  );
  await waitUntil('all dropped datagrams are counted', () => {
    const { droppedMalformed, droppedOtherFleet } = member!.statistics();
    return droppedMalformed >= 4 && droppedOtherFleet >= 1;
  });
  socket.close();
  assert.is(statesAt(member!), 'entry-1 live');
  assert.is(statesAt(stranger), 'entry-2 live');
});

test('a call returns its result, or reports a rejection or a peer that is not listening', async ({
  fleet,
}) => {
  const members = await fleet.startAll(2);
  members[1]!.calls.handle('add', async (params, callerId) => {
    const [left, right] = params as [number, number];
    if (left < 0) throw new Error('left is negative');
    return `${callerId} ${left + right}`;
  });
  const call = (address: string, method: string, params: unknown) =>
    members[0]!.calls.call(address, method, params, 1_000);
  assert.equal(await call(addressOf(2), 'add', [1, 2]), { ok: true, value: 'entry-1 3' });
  const rejected = await call(addressOf(2), 'add', [-1, 2]);
  assert.is(rejected.ok ? '' : rejected.error.kind, 'rejected');
  assert.match(rejected.ok ? '' : rejected.error.message, 'left is negative');
  const refused = await call(`${hostOf(9)}:1`, 'add', [1, 2]);
  assert.is(refused.ok ? '' : refused.error.kind, 'refused');
});

test('transfers large bodies unchanged, and rejects one above the limit', async ({ fleet }) => {
  const members = await fleet.startAll(2);
  members[1]!.calls.handle('repeat', async (params) => `${String(params)}!`);
  const call = (params: string) =>
    members[0]!.calls.call(addressOf(2), 'repeat', params, waitTimeoutMs);
  const text = 'pamplona ñ '.repeat(10_000);
  const answer = await call(text);
  assert.is(answer.ok && answer.value, `${text}!`);
  const tooLarge = await call('a'.repeat(5 * 1_048_576));
  assert.is(tooLarge.ok ? '' : tooLarge.error.kind, 'timeout');
  const { callBytesSent } = members[0]!.statistics();
  assert.ok(callBytesSent < text.length, `${callBytesSent} bytes were sent`);
});

test('advances its hybrid clock past that of a peer whose clock is ahead', async ({ fleet }) => {
  const [member] = await fleet.startAll(2);
  const systemClock = clock.createSystemClock();
  const ahead = clock.createHybridClock({
    ...systemClock,
    wallMs: () => systemClock.wallMs() + 60_000,
  });
  const cause = ahead.tick();
  const events: string[] = [];
  member!.membership.onChange(() => events.push(statesAt(member!)));
  await fleet.start(3, { hybridClock: ahead });
  await waitUntil('member 1 knows member 3', () =>
    events.some((event) => event.includes('entry-3')),
  );
  assert.ok(clock.compareHybridTimes(cause, fleet.hybridClockOf(1).tick()) < 0);
});

test.run();
