import type * as http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from './testing/callers';
import { beginStream, createStreamTarget, eventOf, eventsOf, resumeIdOf } from './testing/streams';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('sound targets that fall silent for a while');

const silentMs = 1_200;
/** Sooner than the second run could take over, and long after the stall was noticed. */
const shortSilenceMs = 500;

/** Streams `before` events, is silent, then goes on to event 4. */
const createSilentStream =
  (before: number, forMs: number): http.RequestListener =>
  (request, response) => {
    request.resume();
    const from = resumeIdOf(request) + 1;
    if (before > 0) {
      beginStream(request, response, 'silent');
      response.write(eventsOf(from, before));
    }
    setTimeout(() => {
      if (before === 0) beginStream(request, response, 'silent');
      response.end(eventsOf(Math.max(from, before + 1), 4));
    }, forMs);
  };

const hang: http.RequestListener = (request) => {
  request.resume();
};

const reject: http.RequestListener = (request, response) => {
  request.resume();
  response.writeHead(503, { 'x-not-run': '1' }).end();
};

const answerAfter =
  (delayMs: number): http.RequestListener =>
  (request, response) => {
    request.resume();
    setTimeout(() => {
      if (response.destroyed) return;
      response
        .writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's' })
        .end('ok');
    }, delayMs);
  };

/** Counts the requests of a target, and those whose connection closed before the answer was complete. */
const observe = (listener: http.RequestListener) => {
  const counts = { requests: 0, abandoned: 0 };
  const observed: http.RequestListener = (request, response) => {
    counts.requests += 1;
    response.once('close', () => {
      if (!response.writableFinished) counts.abandoned += 1;
    });
    listener(request, response);
  };
  return { listener: observed, counts };
};

const lookup = { kind: 'idempotent', maxTargets: 2, latencyTargetMs: 120 } as const;
const isLost = () => true;

for (const before of [0, 2]) {
  const position = `after ${before} events`;

  test(`keep their stream when no retry is allowed, ${position}`, async () => {
    const silent = observe(createSilentStream(before, silentMs));
    const other = observe(createStreamTarget(4, 'other'));
    const targets = [
      { id: 't1', listener: silent.listener },
      { id: 't2', listener: other.listener },
    ];
    await withRelay({ targets, confirmLoss: isLost, fleetRetryReserve: 0 }, async ({ url }) => {
      const answer = await call(url);
      assert.equal([answer.status, answer.text], [200, eventsOf(1, 4)]);
      assert.ok(answer.isComplete);
      assert.is(other.counts.requests, 0);
    });
  });

  test(`keep their stream when the other target rejects it, ${position}`, async () => {
    const silent = observe(createSilentStream(before, silentMs));
    const rejecting = observe(reject);
    const targets = [
      { id: 't1', listener: silent.listener },
      { id: 't2', listener: rejecting.listener },
    ];
    await withRelay({ targets, confirmLoss: isLost }, async ({ url }) => {
      const answer = await call(url);
      assert.equal([answer.status, answer.text], [200, eventsOf(1, 4)]);
      assert.ok(answer.isComplete);
      assert.equal([silent.counts.requests, rejecting.counts.requests], [1, 1]);
    });
  });

  test(`keep their stream when they go on before the other target, ${position}`, async () => {
    const silent = observe(createSilentStream(before, shortSilenceMs));
    const other = observe(hang);
    const targets = [
      { id: 't1', listener: silent.listener },
      { id: 't2', listener: other.listener },
    ];
    await withRelay({ targets, confirmLoss: isLost }, async ({ url }) => {
      const answer = await call(url);
      assert.equal([answer.status, answer.text], [200, eventsOf(1, 4)]);
      assert.ok(answer.isComplete);
      await delay(50);
      assert.is(other.counts.abandoned, other.counts.requests, 'the other run is stopped');
    });
  });
}

test('lose their stream to another target once that one delivers', async () => {
  const silent = observe((request, response) => {
    beginStream(request, response, 'silent');
    response.write(eventOf(1));
  });
  const targets = [
    { id: 't1', listener: silent.listener },
    { id: 't2', listener: createStreamTarget(4, 'other') },
  ];
  await withRelay({ targets, confirmLoss: isLost }, async ({ url }) => {
    const answer = await call(url);
    assert.equal([answer.status, answer.text], [200, eventsOf(1, 4)]);
    await delay(50);
    assert.equal(silent.counts, { requests: 1, abandoned: 1 });
  });
});

test('keep an idempotent request when no retry is allowed', async () => {
  const targets = ['t1', 't2'].map((id) => ({ id, listener: answerAfter(400) }));
  await withRelay({ targets, route: lookup, fleetRetryReserve: 0 }, async ({ url }) => {
    assert.is((await call(url)).status, 200);
  });
});

test('keep an idempotent request when the other target rejects it', async () => {
  const targets = [
    { id: 't1', listener: answerAfter(400) },
    { id: 't2', listener: reject },
  ];
  await withRelay({ targets, route: lookup }, async ({ url }) => {
    assert.is((await call(url)).status, 200);
  });
});

test('keep an idempotent request until the other target answers it', async () => {
  const targets = [
    { id: 't1', listener: answerAfter(400) },
    { id: 't2', listener: hang },
  ];
  await withRelay({ targets, route: lookup }, async ({ url }) => {
    const startedAtMs = performance.now();
    assert.is((await call(url)).status, 200);
    assert.ok(performance.now() - startedAtMs < 1_000);
  });
});

test('are not replaced by a target that is silent as well', async () => {
  const silent = [1, 2].map(() => observe(createSilentStream(1, silentMs)));
  const targets = silent.map(({ listener }, index) => ({ id: `t${index + 1}`, listener }));
  await withRelay({ targets, confirmLoss: isLost, slots: 10 }, async ({ url }) => {
    const answers = await Promise.all(Array.from({ length: 8 }, () => call(url)));
    answers.forEach(({ status, text, isComplete }) => {
      assert.equal([status, text], [200, eventsOf(1, 4)]);
      assert.ok(isComplete);
    });
    const requestCount = silent.reduce((sum, { counts }) => sum + counts.requests, 0);
    assert.ok(silent.every(({ counts }) => counts.requests > 0));
    assert.is(requestCount, answers.length);
  });
});

const hangAndCount = () => observe(hang);

test('get no new streams while no hedge is allowed', async () => {
  const silent = hangAndCount();
  const targets = [
    { id: 't1', listener: silent.listener },
    { id: 't2', listener: createStreamTarget(4, 'other') },
  ];
  await withRelay({ targets, confirmLoss: isLost, fleetRetryReserve: 0 }, async ({ url }) => {
    const first = call(url);
    await delay(silentMs);
    const second = await call(url, { headers: { 'x-id': 'r2' } });
    assert.is(second.status, 200);
    assert.is(silent.counts.requests, 1);
    await first;
  });
});

test('are hedged again when they go on and then fall silent for good', async () => {
  const first: http.RequestListener = (request, response) => {
    beginStream(request, response, 's1');
    response.write(eventOf(1));
    setTimeout(() => response.write(eventOf(2)), 170);
  };
  const targets = [
    { id: 't1', listener: first },
    { id: 't2', listener: createStreamTarget(4, 's2') },
    { id: 't3', listener: hang },
  ];
  await withRelay({ targets, confirmLoss: isLost, route: { maxTargets: 3 } }, async ({ url }) => {
    const answer = await call(url);
    assert.is(answer.text, eventsOf(1, 4));
    assert.ok(answer.isComplete);
  });
});

test('keep their stream when the other target ends without an event', async () => {
  const empty: http.RequestListener = (request, response) => {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    beginStream(request, response, 's2');
    response.end();
  };
  const targets = [
    { id: 't1', listener: createSilentStream(2, 700) },
    { id: 't2', listener: empty },
  ];
  await withRelay({ targets, confirmLoss: isLost }, async ({ url }) => {
    const answer = await call(url);
    assert.is(answer.text, eventsOf(1, 4));
    assert.ok(answer.isComplete);
  });
});

test('are left as soon as the other target delivers its first event', async () => {
  let leftAtMs = Infinity;
  let firstEventAtMs = 0;
  const silent: http.RequestListener = (request, response) => {
    request.resume();
    response.once('close', () => {
      leftAtMs = performance.now();
    });
  };
  const slow: http.RequestListener = (request, response) => {
    beginStream(request, response, 's2');
    response.write(eventOf(1));
    firstEventAtMs = performance.now();
    setTimeout(() => response.end(eventsOf(2, 4)), 300);
  };
  const targets = [
    { id: 't1', listener: silent },
    { id: 't2', listener: slow },
  ];
  await withRelay({ targets, confirmLoss: isLost }, async ({ url }) => {
    assert.is((await call(url)).text, eventsOf(1, 4));
    assert.ok(leftAtMs - firstEventAtMs < 100, `${leftAtMs - firstEventAtMs} ms`);
  });
});

test('lose no stream that must not be repeated to another target', async () => {
  const other = observe(createStreamTarget(4, 'other'));
  const targets = [
    { id: 't1', listener: createSilentStream(0, silentMs) },
    { id: 't2', listener: other.listener },
  ];
  const route = { isResumable: false, maxTargets: 3 };
  await withRelay({ targets, confirmLoss: isLost, route }, async ({ url }) => {
    assert.is((await call(url)).text, eventsOf(1, 4));
    assert.is(other.counts.requests, 0);
  });
});

test('have their streams on no more targets than the route allows', async () => {
  const hanging = [1, 2, 3, 4].map(hangAndCount);
  const targets = hanging.map(({ listener }, index) => ({ id: `t${index + 1}`, listener }));
  const route = { maxTargets: 2, timeoutMs: 2_500 };
  await withRelay({ targets, confirmLoss: isLost, route }, async ({ url }) => {
    assert.is((await call(url)).status, 504);
    const requestCount = hanging.reduce((sum, { counts }) => sum + counts.requests, 0);
    assert.is(requestCount, 2);
  });
});

test.run();
