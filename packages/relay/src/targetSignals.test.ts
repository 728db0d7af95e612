import type * as http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from './testing/callers';
import type { TestRelayOptions, TestTarget } from './testing/createTestRelay';
import { beginStream, eventsOf, resumeIdOf } from './testing/streams';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('targets that leave or ask to wait');

const waitMs = 1_500;
/** Requests that reach a target later than this after it has asked to wait count. */
const graceMs = 500;
const allowedCount = 2;

type Mood = 'serves' | 'asks to wait' | 'fails and asks to wait' | 'leaves';

/** Creates a target that records when requests arrive; it answers plain requests and streams. */
const createTarget = (id: string, initialMood: Mood, answerDelayMs = 0) => {
  const arrivals: number[] = [];
  let mood = initialMood;
  /** When it first asked to wait, and until when. */
  let wait = { fromMs: Infinity, untilMs: -Infinity };
  const listener: http.RequestListener = (request, response) => {
    arrivals.push(performance.now());
    request.resume();
    setTimeout(() => {
      if (mood === 'asks to wait' || mood === 'fails and asks to wait') {
        const nowMs = performance.now();
        if (wait.fromMs === Infinity) wait = { fromMs: nowMs, untilMs: nowMs + waitMs };
        const leftMs = String(Math.round(Math.max(1, wait.untilMs - nowMs)));
        const proof = { 'x-not-run': '1', 'x-id': String(request.headers['x-id']) };
        const notRun = mood === 'asks to wait' ? proof : {};
        response.writeHead(503, { ...notRun, 'x-wait-ms': leftMs }).end();
        return;
      }
      if (mood === 'leaves') response.setHeader('x-leaving', '1');
      beginStream(request, response, id);
      response.end(eventsOf(resumeIdOf(request) + 1, 3));
    }, answerDelayMs);
  };
  return {
    target: { id, listener } satisfies TestTarget,
    arrivals,
    setMood: (next: Mood) => {
      mood = next;
    },
    waitEndsAtMs: () => wait.untilMs,
    /** Returns how many requests came while it wanted none. */
    unwantedCount: () =>
      arrivals.filter((atMs) => atMs > wait.fromMs + graceMs && atMs < wait.untilMs).length,
  };
};

const lookup = { kind: 'idempotent', maxTargets: 2 } as const;
const stream = { kind: 'stream', isResumable: true } as const;

const withTargets = (
  route: TestRelayOptions['route'],
  targets: readonly { readonly target: TestTarget }[],
  use: Parameters<typeof withRelay>[1],
) =>
  withRelay(
    { targets: targets.map(({ target }) => target), ...(route ? { route } : {}), slots: 100 },
    use,
  );

/** Calls at a steady rate, after a burst of requests that are in flight together. */
const callFor = async (url: string, durationMs: number) => {
  const endAtMs = performance.now() + durationMs;
  const calls = Array.from({ length: 40 }, () => call(url));
  while (performance.now() < endAtMs) {
    calls.push(call(url));
    await delay(20);
  }
  return Promise.all(calls);
};

for (const [kind, route] of Object.entries({ lookup, stream })) {
  for (const mood of ['asks to wait', 'fails and asks to wait'] as const) {
    test(`a ${kind} goes elsewhere when a target ${mood}, and returns after that`, async () => {
      const asking = createTarget('asking', mood, 10);
      const sound = createTarget('sound', 'serves', 10);
      await withTargets(route, [asking, sound], async ({ url, suspected }) => {
        const answers = await callFor(url, waitMs + 300);
        assert.ok(asking.arrivals.length > 0);
        assert.ok(
          asking.unwantedCount() <= allowedCount,
          `${asking.unwantedCount()} requests reached it while it wanted none`,
        );
        assert.ok(answers.every(({ status }) => status === 200));
        assert.equal(suspected, []);
        asking.setMood('serves');
        const earlierCount = asking.arrivals.length;
        await callFor(url, 600);
        assert.ok(asking.arrivals.length > earlierCount);
      });
    });
  }

  test(`a ${kind} that all targets ask to wait is refused at once with the earliest time`, async () => {
    const targets = ['one', 'two'].map((id) => createTarget(id, 'asks to wait'));
    await withTargets(route, targets, async ({ url, suspected }) => {
      await call(url);
      await delay(graceMs);
      const refusals = await Promise.all(Array.from({ length: 10 }, () => call(url)));
      const nowMs = performance.now();
      const leftMs = Math.min(...targets.map(({ waitEndsAtMs }) => waitEndsAtMs())) - nowMs;
      refusals.forEach(({ status, headers }) => {
        assert.is(status, 503);
        const errorMs = Math.abs(Number(headers['retry-after']) * 1_000 - leftMs);
        assert.ok(errorMs < 100, `Retry-After is off by ${errorMs} ms`);
      });
      targets.forEach(({ unwantedCount }) => assert.ok(unwantedCount() <= allowedCount));
      assert.equal(suspected, []);
      await delay(leftMs + 50);
      targets.forEach(({ setMood }) => setMood('serves'));
      assert.is((await call(url)).status, 200);
    });
  });

  test(`a ${kind} isn't sent to a target that leaves though the list says it is live`, async () => {
    const leaving = createTarget('leaving', 'leaves', 10);
    const staying = createTarget('staying', 'serves', 10);
    await withTargets(route, [leaving, staying], async ({ url, listNextRun }) => {
      const first = await callFor(url, 100);
      assert.ok(first.some(({ headers }) => headers['x-leaving'] === '1'));
      const earlierCount = leaving.arrivals.length;
      const later = await callFor(url, 500);
      assert.is(leaving.arrivals.length, earlierCount);
      assert.ok([...first, ...later].every(({ status }) => status === 200));
      leaving.setMood('serves');
      listNextRun('leaving');
      await callFor(url, 300);
      assert.ok(leaving.arrivals.length > earlierCount);
    });
  });
}

for (const [kind, route] of Object.entries({ lookup, stream })) {
  test(`a ${kind} whose only target leaves isn't refused for a failure domain that is emptied`, async () => {
    const leaving = createTarget('leaving', 'leaves');
    await withTargets(route, [leaving], async ({ url }) => {
      assert.is((await call(url)).status, 200);
      const { status, text } = await call(url);
      assert.is(status, 503);
      const { error } = JSON.parse(text) as { error: { cause: string } };
      assert.is(error.cause, kind === 'stream' ? 'no-group' : 'no-target');
      assert.is(leaving.arrivals.length, 1);
    });
  });
}

test('a target that says it leaves is used on where the settings bound no draining', async () => {
  const leaving = createTarget('leaving', 'leaves');
  await withRelay(
    { targets: [leaving.target], route: lookup, heedsLeaving: false },
    async ({ url }) => {
      assert.is((await call(url)).status, 200);
      assert.is((await call(url)).status, 200);
    },
  );
});

test.run();
