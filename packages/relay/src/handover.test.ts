import type * as http from 'node:http';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from './testing/callers';
import type { TestRelay, TestRelayOptions } from './testing/createTestRelay';
import { beginStream, createStreamTarget, eventsOf, resumeIdOf } from './testing/streams';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('requests of a daemon that reaches no target');

const filing = { kind: 'non-idempotent', maxTargets: 1 } as const;
const timeoutMs = 3_000;

const createTarget = (answer: http.RequestListener) => {
  const requests: http.IncomingMessage[] = [];
  const listener: http.RequestListener = (request, response) => {
    requests.push(request);
    request.resume();
    request.once('end', () => answer(request, response));
  };
  return { listener, requests };
};

const answerOk: http.RequestListener = (request, response) => {
  response.writeHead(200, { 'x-id': String(request.headers['x-id']) }).end('filed');
};

interface Daemons {
  readonly cut: TestRelay;
  readonly helper: TestRelay;
}

/** Runs a daemon with two targets, and another one that it can ask for help. */
const withDaemons = (
  route: TestRelayOptions['route'],
  { cutTarget, helperTarget }: Readonly<Record<'cutTarget' | 'helperTarget', http.RequestListener>>,
  use: (daemons: Daemons) => Promise<void>,
) => {
  const network = testing.createFakeNetwork();
  const options = { network, ...(route === undefined ? {} : { route }) };
  const helperOptions = {
    ...options,
    name: 'helper',
    peerAddresses: () => ['cut'],
    targets: [{ id: 'h1', listener: helperTarget }],
  };
  const cutOptions = {
    ...options,
    name: 'cut',
    peerAddresses: () => ['helper'],
    targets: ['t1', 't2'].map((id) => ({ id, listener: cutTarget })),
  };
  return withRelay(helperOptions, (helper) => withRelay(cutOptions, (cut) => use({ cut, helper })));
};

const endTargets = ({ endTarget }: TestRelay) => ['t1', 't2'].forEach(endTarget);

test('that may run once run once, on a target of another daemon', async () => {
  const target = createTarget(answerOk);
  const targets = { cutTarget: answerOk, helperTarget: target.listener };
  await withDaemons(filing, targets, async ({ cut }) => {
    endTargets(cut);
    const answer = await call(cut.url, { headers: { 'x-limit-ms': '1500' } });
    assert.equal([answer.status, answer.text], [200, 'filed']);
    assert.is(target.requests.length, 1);
    const { headers } = target.requests[0]!;
    assert.is(headers['x-customer'], 'court');
    assert.is(headers['x-key'], undefined);
    assert.is(headers['x-handover'], undefined);
    assert.ok(Number(headers['x-left-ms']) <= 1_500, 'the time left is passed on');
  });
});

test('are served by no older plan than that of the daemon that hands them over', async () => {
  const network = testing.createFakeNetwork();
  const target = createTarget(answerOk);
  const helperOptions = {
    network,
    route: filing,
    name: 'helper',
    planRevision: 7,
    storedPlan: { planRevision: 8, route: { ...filing, shares: [] } },
    targets: [{ id: 'h1', listener: target.listener }],
  };
  const cutOptions = {
    network,
    route: filing,
    name: 'cut',
    planRevision: 8,
    peerAddresses: () => ['helper'],
    targets: ['t1', 't2'].map((id) => ({ id, listener: answerOk })),
  };
  await withRelay(helperOptions, () =>
    withRelay(cutOptions, async (cut) => {
      endTargets(cut);
      assert.is((await call(cut.url)).status, 503);
      assert.is(target.requests.length, 0, 'run by a service of the older plan');
    }),
  );
});

test('that may run once do not run again when the other daemon fails after it took them', async () => {
  const target = createTarget((_request, response) => response.destroy());
  const targets = { cutTarget: answerOk, helperTarget: target.listener };
  await withDaemons(filing, targets, async ({ cut }) => {
    endTargets(cut);
    assert.is((await call(cut.url)).status, 502);
    assert.is(target.requests.length, 1);
  });
});

test('end at the target when their caller hangs up', async () => {
  let hasClosed = false;
  const target = createTarget((_request, response) => {
    response.once('close', () => {
      hasClosed = true;
    });
  });
  const targets = { cutTarget: answerOk, helperTarget: target.listener };
  await withDaemons(filing, targets, async ({ cut }) => {
    endTargets(cut);
    const ended = call(cut.url, { disconnectAfterMs: 500 });
    await testing.waitUntil(() => target.requests.length === 1, timeoutMs, 'the request');
    await ended;
    await testing.waitUntil(() => hasClosed, 500, 'the hang-up to reach the target');
  });
});

test('are refused, not handed on in circles, when no daemon reaches a target', async () => {
  const targets = { cutTarget: answerOk, helperTarget: answerOk };
  await withDaemons(filing, targets, async ({ cut, helper }) => {
    endTargets(cut);
    assert.is((await call(cut.url)).status, 200);
    helper.endTarget('h1');
    const startedAtMs = performance.now();
    const answer = await call(cut.url);
    assert.is(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.ok(performance.now() - startedAtMs < 1_000, 'refused late');
  });
});

test('continue their streams at another daemon after the last event', async () => {
  let endAll = () => {};
  const cutTarget: http.RequestListener = (request, response) => {
    beginStream(request, response, 'first');
    response.write(eventsOf(1, 2));
    setTimeout(() => endAll(), 100);
  };
  const target = createTarget(createStreamTarget(6, 'second'));
  await withDaemons(undefined, { cutTarget, helperTarget: target.listener }, async ({ cut }) => {
    endAll = () => endTargets(cut);
    const answer = await call(cut.url);
    assert.is(answer.text, eventsOf(1, 6));
    assert.ok(answer.isComplete);
    assert.is(answer.headers['x-stamp'], 'first');
    assert.equal(target.requests.map(resumeIdOf), [2]);
  });
});

test.run();
