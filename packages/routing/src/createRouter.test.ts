import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as routing from './index';

const test = uvu.suite('router');

const createCandidates = (count: number): readonly routing.Candidate[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `g${index}`,
    failureDomain: index % 2 === 0 ? 'pamplona-a' : 'baztan',
    maxConcurrent: 8,
    generation: 1,
  }));

const request = (id: string, fields: Partial<routing.RouteRequest> = {}): routing.RouteRequest => ({
  id,
  customer: 'a',
  prefixHashes: [],
  promptTokens: 1_000,
  triedIds: new Set(),
  ...fields,
});

const create = (strategy: routing.RouteStrategy = new routing.PredictedFirstTokenStrategy()) =>
  routing.createRouter({ strategy, random: routing.createRandom(3) });

const dispatch = (
  router: routing.Router,
  candidates: readonly routing.Candidate[],
  asked: routing.RouteRequest,
  nowMs = 0,
) => {
  const chosen = router.choose(candidates, asked, nowMs);
  if (!chosen) throw new Error('no candidate was selected');
  router.onDispatch(chosen, asked, nowMs);
  return chosen;
};

const strategies = [
  new routing.RandomStrategy(),
  new routing.RoundRobinStrategy(),
  new routing.LeastInFlightStrategy(),
  new routing.PredictedFirstTokenStrategy(),
];

strategies.forEach((strategy) => {
  test(`${strategy.name} never selects a tried target`, () => {
    const candidates = createCandidates(4);
    const router = create(strategy);
    const tried = new Set(['g0', 'g1', 'g3']);
    Array.from({ length: 50 }, (_, index) => {
      const asked = request(`${index}`, { triedIds: tried, prefixHashes: ['0'.repeat(16)] });
      assert.is(router.choose(candidates, asked, 0)?.id, 'g2');
      return undefined;
    });
    const all = request('all', { triedIds: new Set(candidates.map(({ id }) => id)) });
    assert.is(router.choose(candidates, all, 0), undefined);
    assert.is(router.choose([], request('none'), 0), undefined);
  });
});

test('spreads load and stops counting ended requests', () => {
  const candidates = createCandidates(4);
  const router = create();
  Array.from({ length: 32 }, (_, index) => dispatch(router, candidates, request(`${index}`)));
  candidates.forEach(({ id }) => assert.ok(router.inFlight(id) >= 6, `${id} has too few`));
  Array.from({ length: 32 }, (_, index) => router.onEnd(`${index}`, 10));
  candidates.forEach(({ id }) => assert.is(router.inFlight(id), 0));
});

test('prefers the target that received the same prefix, unless it is loaded', () => {
  const candidates = createCandidates(16);
  const router = create();
  const prefixHashes = ['00000000000000aa', '00000000000000ab'];
  const first = dispatch(router, candidates, request('1', { prefixHashes }));
  router.onFirstToken('1', 100);
  router.onEnd('1', 200);
  const second = dispatch(router, candidates, request('2', { prefixHashes }), 300);
  assert.is(second.id, first.id);
  Array.from({ length: 20 }, (_, index) =>
    router.onDispatch(first, request(`load-${index}`, { promptTokens: 4_000 }), 400),
  );
  const third = router.choose(candidates, request('3', { prefixHashes }), 500);
  assert.is.not(third?.id, first.id);
});

test('selects the same target for a prompt on daemons without shared state', () => {
  const candidates = createCandidates(16);
  const asked = request('1', { prefixHashes: ['00000000000000aa'] });
  const chosen = [3, 4, 5, 6].map((seed) =>
    routing
      .createRouter({
        strategy: new routing.PredictedFirstTokenStrategy(),
        random: routing.createRandom(seed),
      })
      .choose(candidates, asked, 0),
  );
  assert.is(new Set(chosen).size, 1);
});

test('accounts for the load of other daemons on a target', () => {
  const candidates = createCandidates(2);
  const router = create();
  candidates.forEach((candidate, index) => router.onDispatch(candidate, request(`${index}`), 0));
  router.onReport('g0', { runningCount: 8, waitingCount: 6, ageMs: 500 }, 10);
  router.onReport('g1', { runningCount: 1, waitingCount: 0, ageMs: 500 }, 10);
  Array.from({ length: 5 }, (_, index) => {
    const chosen = dispatch(router, candidates, request(`more-${index}`), 20);
    assert.is(chosen.id, 'g1');
    return undefined;
  });
});

/** Runs one stream on each target, with its own time between tokens. */
const stream = (
  router: routing.Router,
  candidates: readonly routing.Candidate[],
  intervalMsOf: (id: string) => number,
) =>
  candidates.forEach((candidate) => {
    const id = `stream-${candidate.id}`;
    router.onDispatch(candidate, request(id), 0);
    router.onFirstToken(id, 100);
    Array.from({ length: 60 }, (_, turn) =>
      router.onToken(id, 100 + (turn + 1) * intervalMsOf(candidate.id)),
    );
    router.onEnd(id, 10_000);
  });

test('detects a target slower than the others, avoids it, and recovers its rating over time', () => {
  const candidates = createCandidates(8);
  const router = create();
  stream(router, candidates, (id) => (id === 'g3' ? 200 : 20));
  assert.ok(router.slowdownFactor('g3', 12_200) > 3);
  const chosen = Array.from({ length: 50 }, (_, index) =>
    router.choose(candidates, request(`${index}`), 12_200),
  );
  assert.ok(chosen.filter((candidate) => candidate?.id === 'g3').length <= 1);
  assert.ok(router.slowdownFactor('g3', 200_000) < 1.05);
});

test('prefers the cheaper failure domain until its target is loaded', () => {
  const candidates = createCandidates(2);
  const strategy = new routing.PredictedFirstTokenStrategy((failureDomain) =>
    failureDomain === 'baztan' ? 6 : 0,
  );
  const router = create(strategy);
  assert.is(dispatch(router, candidates, request('1')).id, 'g0');
  assert.is(dispatch(router, candidates, request('2')).id, 'g1');
});

test('treats a target with a new generation as empty', () => {
  const candidates = createCandidates(1);
  const router = create();
  dispatch(router, candidates, request('1'));
  const [again] = candidates.map((candidate) => ({ ...candidate, generation: 2 }));
  router.onDispatch(again!, request('2'), 10);
  assert.is(router.inFlight('g0'), 1);
  router.onEnd('1', 20);
  assert.is(router.inFlight('g0'), 1);
});

test('returns equal hashes for equal prompt prefixes', async () => {
  const hasher = await routing.createPrefixHasher({ blockLength: 4 });
  const left = hasher.hashPrefixes('aaaabbbbcc');
  const right = hasher.hashPrefixes('aaaabbbbdddd');
  const shifted = hasher.hashPrefixes('xxxxbbbb');
  assert.is(left.length, 2);
  assert.equal(left, right.slice(0, 2));
  assert.is.not(left[1], shifted[1]);
  const mine = hasher.fingerprint('a', 'mediator-1', 'body');
  assert.is.not(mine, hasher.fingerprint('a', 'mediator-2', 'body'));
  assert.is(mine, hasher.fingerprint('a', 'mediator-1', new TextEncoder().encode('body')));
});

test.run();
