import type * as http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from '../testing/callers';
import { createTestRelay, type TestRelay } from '../testing/createTestRelay';
import { beginStream, eventOf, eventsOf } from '../testing/streams';

const test = uvu.suite('quarantined requests');

const crashingBody = 'ends the process';
const crashingPart = 'bad';
/** By this time after the first crash, a part of prompts may be quarantined. */
const settledMs = 1_200;
const targetIds = ['t1', 't2', 't3', 't4', 't5'];
const crashLimit = 3;

const readBody = async (request: http.IncomingMessage) => {
  let text = '';
  for await (const chunk of request) text += String(chunk);
  return text;
};

/** Starts a relay before targets that end when they run the crashing request. */
const withCrashingTargets = async (
  kind: 'stream' | 'non-idempotent' | 'idempotent',
  use: (relay: TestRelay, crashedIds: readonly string[]) => Promise<void>,
  isAnsweredWithFailure: (runCount: number) => boolean = () => false,
) => {
  const crashedIds: string[] = [];
  let runCount = 0;
  const ends: { target: (id: string) => void } = { target: () => {} };
  const createListener =
    (id: string): http.RequestListener =>
    (request, response) => {
      void readBody(request).then((body) => {
        const isCrashing =
          body === crashingBody ||
          String(request.headers['x-parts']).split(',').includes(crashingPart);
        if (isCrashing) runCount += 1;
        if (isCrashing && isAnsweredWithFailure(runCount)) {
          response.writeHead(500, { 'x-id': String(request.headers['x-id']) }).end('failed');
          return;
        }
        if (kind === 'stream') {
          beginStream(request, response, id);
          response.write(eventOf(1));
        }
        if (isCrashing) {
          crashedIds.push(id);
          ends.target(id);
        } else if (kind === 'stream') response.end(eventsOf(2, 3));
        else response.writeHead(200, { 'x-id': String(request.headers['x-id']) }).end('done');
      });
    };
  const relay = await createTestRelay({
    route: { kind, maxTargets: kind === 'non-idempotent' ? 1 : 2 },
    targets: targetIds.map((id) => ({ id, listener: createListener(id) })),
  });
  ends.target = relay.endTarget;
  try {
    await use(relay, crashedIds);
  } finally {
    await relay.stop();
  }
};

(['stream', 'non-idempotent', 'idempotent'] as const).forEach((kind) =>
  test(`refuses a crashing ${kind} request with a retry delay after three targets`, () =>
    withCrashingTargets(kind, async ({ url }, crashedIds) => {
      const answers = [];
      for (let count = 0; count < 6; count += 1) {
        answers.push(await call(url, { body: crashingBody }));
      }
      const last = answers.at(-1)!;
      assert.is(crashedIds.length, crashLimit);
      assert.is(last.status, 503);
      assert.match(last.text, '"cause":"quarantined","ran":"not-run"');
      assert.ok(Number(last.headers['retry-after']) > 0);
      assert.is((await call(url, { body: 'another request' })).status, 200);
    })),
);

(['stream', 'idempotent'] as const).forEach((kind) =>
  test(`does not clear a crashing ${kind} request that a target answered with a failure`, () =>
    withCrashingTargets(
      kind,
      async ({ url }, crashedIds) => {
        for (let count = 0; count < 8; count += 1) await call(url, { body: crashingBody });
        assert.is(crashedIds.length, crashLimit);
      },
      (runCount) => runCount % 3 === 0,
    )),
);

test('refuses different requests that share a part which crashes targets, and no others', () =>
  withCrashingTargets('non-idempotent', async ({ url }, crashedIds) => {
    const send = (name: string, ...parts: readonly string[]) =>
      call(url, { body: name, headers: { 'x-parts': [...parts, `of-${name}`].join() } });
    for (let count = 0; count < 3; count += 1) {
      await send(`crashing-${count}`, 'system', crashingPart);
      assert.is((await send(`sound-${count}`, 'system')).status, 200);
    }
    await delay(settledMs);
    const refused = await send('crashing-3', 'system', crashingPart);
    assert.is(crashedIds.length, crashLimit);
    assert.is(refused.status, 503);
    assert.match(refused.text, '"cause":"quarantined","ran":"not-run"');
    assert.match(refused.text, 'a part of the prompt is quarantined');
    assert.ok(Number(refused.headers['retry-after']) > 0);
    assert.is((await send('sound-3', 'system')).status, 200);
    assert.is((await send('sound-4')).status, 200);
  }));

test('does not call a crashing request not run in the attempt in which it is quarantined', () =>
  withCrashingTargets('idempotent', async ({ url }, crashedIds) => {
    const answers = [];
    while (crashedIds.length < crashLimit) answers.push(await call(url, { body: crashingBody }));
    assert.is(answers.at(-1)!.status, 502);
  }));

test.run();
