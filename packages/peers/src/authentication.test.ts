import * as http from 'node:http';
import process from 'node:process';
import { text } from 'node:stream/consumers';
import * as clock from '@comfreydrum/clock';
import * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import * as undici from 'undici';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as peers from './index';

const waitMs = 20_000;
const callTimeoutMs = 2_000;
const port = 7_946;
const oldToken = 'the former token of the fleet, long enough';
const newToken = 'the coming token of the fleet, long enough';

/** Returns the loopback address of a member, unique to it and to this test process. */
const hostOf = (index: number) =>
  `127.${Math.floor(process.pid / 256) % 100}.${process.pid % 256}.${index + 100}`;
const addressOf = (index: number) => `${hostOf(index)}:${port}`;

interface Context {
  started: peers.Peers[];
}

const test = uvu.suite<Context>('authentication between daemons');

test.before.each((context) => {
  context.started = [];
});

test.after.each(async ({ started }) => {
  await Promise.all(started.map(({ component }) => component.stop?.()));
});

/** Starts one member per list of tokens; all have the first two members as seeds. */
const start = async ({ started }: Context, tokenLists: readonly (readonly string[])[]) => {
  const systemClock = clock.createSystemClock();
  for (const [index, tokens] of tokenLists.entries()) {
    const instanceId = `entry-${index}`;
    const hybridClock = clock.createHybridClock(systemClock);
    const member = await peers.createPeers({
      settings: {
        listen: addressOf(index),
        seeds: [addressOf(0), addressOf(1)],
        probeIntervalMs: 60,
        probeTimeoutMs: 40,
        suspicionMs: 300,
        tokens,
      },
      instanceId,
      region: 'navarra',
      failureDomain: 'pamplona-a',
      clock: systemClock,
      hybridClock,
      log: telemetry.createLog({ level: 'silent', instanceId }),
      timeline: telemetry.createTimeline(instanceId, hybridClock),
      random: testing.createRandom(index + 1).fraction,
    });
    member.calls.handle('name', async () => instanceId);
    await member.component.start?.();
    started.push(member);
  }
  return started;
};

const rotation: readonly (readonly (readonly string[])[])[] = [
  [[oldToken], [oldToken, newToken]],
  [
    [oldToken, newToken],
    [newToken, oldToken],
  ],
  [[newToken, oldToken], [newToken]],
];

rotation.forEach((tokenLists, step) =>
  test(`daemons before and after step ${step + 1} of a token rotation form one fleet`, async (context) => {
    const members = await start(context, tokenLists);
    const isWhole = () => members.every(({ membership }) => membership.members().length === 2);
    await testing.waitUntil(isWhole, waitMs, 'each to see the other');
    for (const [index, { calls }] of members.entries()) {
      const answer = await calls.call(addressOf(1 - index), 'name', {}, callTimeoutMs);
      assert.equal(answer, { ok: true, value: `entry-${1 - index}` });
    }
    members.forEach(({ statistics }) => assert.is(statistics().droppedUnauthenticated, 0));
  }),
);

[[newToken], []].forEach((tokens) =>
  test(`a daemon with ${tokens.length === 0 ? 'no' : 'another'} token cannot join the fleet`, async (context) => {
    const [member, stranger] = await start(context, [[oldToken], tokens]);
    const hasDropped = () => member!.statistics().droppedUnauthenticated > 0;
    await testing.waitUntil(hasDropped, waitMs, 'a datagram to be dropped');
    const answer = await stranger!.calls.call(addressOf(0), 'name', {}, callTimeoutMs);
    assert.not.ok(answer.ok);
    const back = await member!.calls.call(addressOf(1), 'name', {}, callTimeoutMs);
    assert.not.ok(back.ok);
    assert.is(member!.membership.members().length, 1);
    assert.is(stranger!.membership.members().length, 1);
  }),
);

/** Records the first call to the address of member `index` without responding to it. */
const recordCall = async (index: number, make: () => Promise<unknown>) => {
  const calls: { readonly headers: http.IncomingHttpHeaders; readonly body: string }[] = [];
  const recorder = http.createServer((request, response) => {
    void text(request).then((body) => {
      calls.push({ headers: request.headers, body });
      response.destroy();
    });
  });
  await new Promise<void>((resolve) => {
    recorder.listen(port, hostOf(index), resolve);
  });
  await make();
  recorder.close();
  return calls[0]!;
};

test('rejects a call whose body or caller was changed after signing', async (context) => {
  const [member] = await start(context, [[oldToken]]);
  let served = 0;
  member!.calls.handle('count', async () => {
    served += 1;
  });
  const { headers, body } = await recordCall(1, () =>
    member!.calls.call(addressOf(1), 'count', { amount: 1 }, callTimeoutMs),
  );
  const post = async (changedBody: string, changes: Readonly<Record<string, string>>) => {
    const answer = await undici.request(`http://${addressOf(0)}/rpc`, {
      method: 'POST',
      headers: { ...headers, ...changes },
      body: changedBody,
    });
    await answer.body.dump();
    return answer.statusCode;
  };
  assert.is(await post(body.replace('1', '2'), {}), 401);
  assert.is(await post(body, { 'x-comfreydrum-caller': 'entry-9' }), 401);
  assert.is(served, 0);
  assert.is(await post(body, {}), 200);
  assert.is(served, 1);
});

test('rejects a call without a valid signature, by an unsigned response', async (context) => {
  const [member] = await start(context, [[oldToken]]);
  let served = 0;
  member!.calls.handle('count', async () => {
    served += 1;
  });
  const post = async (body: string, headers: Readonly<Record<string, string>>) => {
    const answer = await undici.request(`http://${addressOf(0)}/rpc`, {
      method: 'POST',
      headers: { 'x-comfreydrum-fleet': 'default', ...headers },
      body,
    });
    const { statusCode } = answer;
    const isSigned = 'x-comfreydrum-signature' in answer.headers;
    return { statusCode, isSigned, message: await answer.body.text() };
  };
  const body = '{"jsonrpc":"2.0","id":1,"method":"count","params":{}}';
  for (const signature of ['', 'zz', '00'.repeat(16)]) {
    const answer = await post(body, { 'x-comfreydrum-signature': signature });
    assert.is(answer.statusCode, 401);
    assert.not.ok(
      answer.isSigned,
      'a signed rejection could be replayed as the response to another call',
    );
    assert.match(answer.message, 'no signature with a token of this fleet');
  }
  assert.is(served, 0);
  assert.is(member!.statistics().droppedUnauthenticated, 3);
});

test('rejects an unsigned response', async (context) => {
  const [member] = await start(context, [[oldToken]]);
  const impostor = http.createServer((request, response) => {
    request.resume();
    response.end('{"jsonrpc":"2.0","id":1,"result":"entry-1"}');
  });
  await new Promise<void>((resolve) => {
    impostor.listen(port, hostOf(1), resolve);
  });
  try {
    const answer = await member!.calls.call(addressOf(1), 'name', {}, callTimeoutMs);
    assert.is(answer.ok ? '' : answer.error.kind, 'timeout');
    assert.match(answer.ok ? '' : answer.error.message, 'no signature with a token of this fleet');
  } finally {
    impostor.closeAllConnections();
    impostor.close();
  }
});

test.run();
