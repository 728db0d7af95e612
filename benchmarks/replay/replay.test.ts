import * as routing from '@comfreydrum/routing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as daemons from './createDaemonModel';
import * as traces from './createTrace';
import * as overload from './replayOverload';
import * as replays from './replayRouting';

const test = uvu.suite('replay of traffic traces');

const durationMs = 40_000;
const firstTokenTargetMs = 1_100;
const betweenTokensTargetMs = 52;

interface Day {
  readonly name: string;
  readonly seed: number;
  /** About 80 % of the capacity of the groups in the replay. */
  readonly requestsPerSecond: number;
}

/** The traffic shapes, with rates that use about 80 % of the capacity of eight groups. */
const days: readonly Day[] = [
  { name: 'navarra-12-march', seed: 12, requestsPerSecond: 24 },
  { name: 'navarra-14-march', seed: 14, requestsPerSecond: 32 },
  { name: 'navarra-19-march', seed: 19, requestsPerSecond: 20 },
  { name: 'midlands-day', seed: 44, requestsPerSecond: 36 },
];

const createTrace = ({ name, seed, requestsPerSecond }: Day, load = 1) => {
  const shape = traces.traceShapes.find((candidate) => candidate.name === name)!;
  return traces.createTrace(shape, seed, {
    durationMs,
    requestsPerSecond: requestsPerSecond * load,
    customers: traces.tenCustomers,
  });
};

const groups = { groupCount: 8, daemonCount: 4, maxRunning: 48, cacheBlocks: 1_200 } as const;

/** Slows one group down threefold for half of the trace. */
const slownessAt = (group: number, nowMs: number) =>
  group === 0 && nowMs > 10_000 && nowMs < 30_000 ? 3 : 1;

days.forEach((day) => {
  test(`${day.name}: first and later tokens arrive in time while one group is slow`, async () => {
    const outcome = replays.replayRouting(
      await createTrace(day),
      (domainCost) => new routing.PredictedFirstTokenStrategy(domainCost),
      { ...groups, seed: day.seed, slownessAt },
    );
    const firstTokenMs = replays.quantile(outcome.firstTokenMs, 0.95);
    const betweenTokensMs = replays.quantile(outcome.betweenTokensMs, 0.95);
    assert.ok(firstTokenMs <= firstTokenTargetMs, `p95 first token ${firstTokenMs} ms`);
    assert.ok(betweenTokensMs <= betweenTokensTargetMs, `p95 token ${betweenTokensMs} ms`);
  });

  test(`${day.name}: requests are routed to groups that have their prefix cached`, async () => {
    const trace = await createTrace(day);
    const outcome = replays.replayRouting(
      trace,
      (domainCost) => new routing.PredictedFirstTokenStrategy(domainCost),
      { ...groups, seed: day.seed, slownessAt: () => 1 },
    );
    const part = outcome.cachedTokens / replays.countCacheableTokens(trace);
    assert.ok(part >= 0.9, `cached part of the bound ${part.toFixed(3)}`);
  });

  test(`${day.name}: at four times the load, admitted requests complete in time`, async () => {
    const outcomes = overload.replayOverload(await createTrace(day, 4), {
      ...groups,
      seed: day.seed,
      countFromMs: 10_000,
      createDaemon: (candidates, seed) =>
        daemons.createAdmissionControlDaemon(candidates, seed, () => 0),
    });
    const count = (kind: overload.RequestOutcome['kind']) =>
      outcomes.filter((outcome) => outcome.kind === kind).length;
    const admittedCount = count('in-time') + count('late');
    const refused = outcomes.filter(({ kind }) => kind === 'refused');
    const slow = refused.filter(({ afterMs }) => afterMs > 50);
    assert.ok(refused.length > 0, 'nothing was refused');
    assert.ok(
      count('late') <= 0.01 * admittedCount,
      `${count('late')} of ${admittedCount} came late`,
    );
    assert.ok(
      slow.length <= 0.01 * refused.length,
      `${slow.length} of ${refused.length} were slow`,
    );
    refused.forEach(({ retryAfterMs }) => assert.ok(retryAfterMs! >= 250));
  });
});

test('frees the slot of a request as soon as its caller disconnects', () => {
  const candidate = { id: '0', failureDomain: 'derby-a', maxConcurrent: 1, generation: 1 };
  const daemon = daemons.createAdmissionControlDaemon([candidate], 1, () => 0);
  const request = (id: string): traces.TraceRequest => ({
    id,
    atMs: 0,
    customer: 'a',
    priority: 'interactive',
    deadlineMs: 60_000,
    prefixHashes: [],
    promptTokens: 100,
    outputTokens: 10,
    maxTokens: 64,
  });
  assert.is(daemon.offer(request('first'), 0).sent.length, 1);
  assert.is(daemon.offer(request('second'), 1).sent.length, 0);
  assert.equal(
    daemon.cancel('first', 2).sent.map((sent) => sent.request.id),
    ['second'],
  );
});

test.run();
