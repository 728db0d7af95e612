import type * as http from 'node:http';
import * as clock from '@comfreydrum/clock';
import * as routing from '@comfreydrum/routing';
import * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as targetClient from '@comfreydrum/target-client';
import { createCacheEventPoller } from './createCacheEventPoller';
import { promptText } from './promptText';
import type { Candidate } from './SlotPool';
import { withServer } from '../../target-client/src/testing/withServer';

const test = uvu.suite('cache event poller');

const candidateAt = (url: string): Candidate => ({
  id: 'group-1',
  url,
  failureDomain: 'pamplona-a',
  maxConcurrent: 4,
  generation: 1,
});

const requestOf = (id: string, prefixHashes: readonly string[]): routing.RouteRequest => ({
  id,
  customer: 'court',
  prefixHashes,
  promptTokens: 1_000,
  triedIds: new Set(),
});

/** Creates a poller that tracks one router, and the target states that the router updates. */
const createTestPoller = (candidates: readonly Candidate[]) => {
  const manual = clock.createManualClock();
  const targets = targetClient.createTargetClient(undefined);
  const poller = createCacheEventPoller({
    clock: manual,
    log: telemetry.createLog({ level: 'silent', instanceId: 'entry-1' }),
    targets,
    random: routing.createRandom(1),
    daemonCount: () => 1,
  });
  const states = routing.createTargetStates();
  const untracked = routing.createRouter({
    strategy: new routing.PredictedFirstTokenStrategy(),
    random: routing.createRandom(1),
    targets: states,
  });
  const router = poller.trackDispatches(untracked, () => candidates);
  return { manual, poller, states, router, targets };
};

/** Creates an engine that returns the responses in order and records the requested paths. */
const createEngine = (answers: readonly string[]) => {
  const paths: string[] = [];
  const listener: http.RequestListener = (request, response) => {
    response.end(answers[paths.length] ?? '{"next":0,"events":[]}');
    paths.push(request.url ?? '');
  };
  return { paths, listener };
};

const stored = (next: number, prefixHash: string) =>
  JSON.stringify({ next, events: [{ sequence: next - 1, kind: 'stored', prefixHash }] });

test('receives cache entries that requests of other daemons created', async () => {
  const { paths, listener } = createEngine([stored(8, 'b'), '{"next":8,"events":[]}']);
  await withServer(listener, async (url) => {
    const { poller, states, router, targets } = createTestPoller([candidateAt(url)]);
    await poller.poll();
    assert.equal(paths, []);
    router.onDispatch(candidateAt(url), requestOf('1', ['a']), 0);
    await poller.poll();
    assert.equal(states.targetsWithLongestPrefix(requestOf('2', ['b']), 0), ['group-1']);
    await poller.poll();
    assert.equal(
      paths.map((path) => path.split('&')[0]),
      ['/cache-events?since=0', '/cache-events?since=8'],
    );
    await targets.close();
  });
});

for (const bad of ['{"next":', '{"next":1,"events":[{"kind":"x"}]}', 'x'.repeat(300_000)]) {
  test(`stops polling a target for a while after ${bad.slice(0, 30)}`, async () => {
    const { paths, listener } = createEngine([bad, stored(2, 'b')]);
    await withServer(listener, async (url) => {
      const { manual, poller, states, router, targets } = createTestPoller([candidateAt(url)]);
      router.onDispatch(candidateAt(url), requestOf('1', []), 0);
      await poller.poll();
      await poller.poll();
      assert.is(paths.length, 1);
      manual.advance(30_000);
      await poller.poll();
      assert.equal(states.targetsWithLongestPrefix(requestOf('2', ['b']), 30_000), ['group-1']);
      await targets.close();
    });
  });
}

test('does not poll a target that is gone or received no request for a minute', async () => {
  const { paths, listener } = createEngine([]);
  await withServer(listener, async (url) => {
    const present = createTestPoller([candidateAt(url)]);
    present.router.onDispatch(candidateAt(url), requestOf('1', []), 0);
    present.manual.advance(60_001);
    await present.poller.poll();
    const gone = createTestPoller([]);
    gone.router.onDispatch(candidateAt(url), requestOf('1', []), 0);
    await gone.poller.poll();
    assert.equal(paths, []);
    await Promise.all([present.targets.close(), gone.targets.close()]);
  });
});

test('computes the same prefix hashes as the fake engine', async () => {
  const engine = testing.createEngineStandin({
    cacheEventDelayMs: 0,
    cacheEventLossFraction: 0,
    preloadedModel: 'drafting',
  });
  const { url } = await engine.start();
  const messages = [
    { role: 'system', content: 'plan '.repeat(200) },
    { role: 'user', content: [{ type: 'text', text: 'a new case '.repeat(100) }] },
  ];
  const body = { model: 'drafting', messages, max_tokens: 1 };
  const ask = () =>
    fetch(`${url}/v1/chat/completions`, { method: 'POST', body: JSON.stringify(body) });
  await testing.waitUntil(async () => (await ask()).ok, 5_000, 'the engine to respond');

  const { poller, states, router, targets } = createTestPoller([candidateAt(url)]);
  router.onDispatch(candidateAt(url), requestOf('1', []), 0);
  await poller.poll();
  const hasher = await routing.createPrefixHasher();
  const asked = requestOf('2', hasher.hashPrefixes(promptText(body)));
  assert.is(asked.prefixHashes.length, 4);
  assert.ok(states.uncachedTokens(candidateAt(url), asked, 0) <= 200);
  await targets.close();
  await engine.stop();
});

// Guards against polling that stops for good, as a collection removed the time-out of a poll.
test('ends the poll of a silent target at its time-out although garbage is collected before', async () => {
  const leaveUnanswered: http.RequestListener = () => {};
  await withServer(leaveUnanswered, async (url) => {
    const { poller, router, targets } = createTestPoller([candidateAt(url)]);
    router.onDispatch(candidateAt(url), requestOf('1', []), 0);
    let isEnded = false;
    void poller.poll().then(() => {
      isEnded = true;
    });
    await testing.collectGarbage();
    await testing.waitUntil(() => isEnded, 2_000, 'the poll to end');
    await targets.close();
  });
});

test.run();
