import type * as http from 'node:http';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from './testing/callers';
import { createTestRelay, otherPathPrefix, type TestRelayOptions } from './testing/createTestRelay';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('non-streaming requests');

/** Creates a target that responds with `answer` and counts its requests. */
const createTarget = (answer: http.RequestListener) => {
  let count = 0;
  const listener: http.RequestListener = (request, response) => {
    count += 1;
    request.resume();
    request.once('end', () => answer(request, response));
  };
  return { listener, count: () => count };
};

const answerWith =
  (status: number, headers: Readonly<Record<string, string>> = {}): http.RequestListener =>
  (request, response) => {
    response
      .writeHead(status, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's', ...headers })
      .end(`status ${status}`);
  };

const closeConnection: http.RequestListener = (_request, response) => response.destroy();
const hang: http.RequestListener = () => {};
const filing = { kind: 'non-idempotent', maxTargets: 1 } as const;
const lookup = { kind: 'idempotent', maxTargets: 2 } as const;

const callWithTwoTargets = async (
  route: Partial<TestRelayOptions['route']>,
  first: http.RequestListener,
  second: http.RequestListener,
) => {
  const one = createTarget(first);
  const two = createTarget(second);
  const targets = [
    { id: 't1', listener: one.listener },
    { id: 't2', listener: two.listener },
  ];
  const result = { status: 0, text: '', retryAfter: '', counts: [0, 0] };
  await withRelay({ targets, route: { ...route } }, async ({ url }) => {
    const answer = await call(url);
    result.status = answer.status;
    result.text = answer.text;
    result.retryAfter = answer.headers['retry-after'] ?? '';
    result.counts = [one.count(), two.count()];
  });
  return result;
};

test('forwards status, body and headers unchanged', async () => {
  const target = createTarget(answerWith(404));
  await withRelay(
    { targets: [{ id: 't1', listener: target.listener }], route: filing },
    async ({ url }) => {
      const answer = await call(url);
      assert.is(answer.status, 404);
      assert.is(answer.text, 'status 404');
      assert.is(answer.headers['x-stamp'], 's');
    },
  );
});

test('does not retry a non-idempotent request that may have run, nor report it as not run', async () => {
  const cut = await callWithTwoTargets(filing, closeConnection, answerWith(200));
  assert.equal(cut.counts, [1, 0]);
  assert.is(cut.status, 502);
  const failed = await callWithTwoTargets(filing, answerWith(503), answerWith(200));
  assert.equal(failed.counts, [1, 0]);
  assert.is(
    failed.status,
    502,
    'a 503 would report the request as not run, which the target did not confirm',
  );
});

test('forwards the error response to a non-idempotent request', async () => {
  const failed = await callWithTwoTargets(filing, answerWith(500), answerWith(200));
  assert.equal(failed.counts, [1, 0]);
  assert.equal([failed.status, failed.text], [500, 'status 500']);
});

test('retries a non-idempotent request when the target confirms that it did not run', async () => {
  const full: http.RequestListener = (_request, response) => {
    response.writeHead(503, { 'x-not-run': '1' }).end();
  };
  const served = await callWithTwoTargets(filing, full, answerWith(200));
  assert.equal(served.counts, [1, 1]);
  assert.is(served.status, 200);
  const refused = await callWithTwoTargets(filing, full, full);
  assert.is(refused.status, 503);
  assert.ok(Number(refused.retryAfter) > 0);
});

test('retries an idempotent request that fails, is cut off or hangs', async () => {
  for (const first of [answerWith(500), closeConnection, hang]) {
    const served = await callWithTwoTargets(lookup, first, answerWith(200));
    assert.is(served.status, 200);
    assert.equal(served.counts, [1, 1]);
  }
});

test('tries an idempotent request on no more targets than its route allows', async () => {
  const failed = await callWithTwoTargets(lookup, answerWith(500), answerWith(500));
  assert.equal(failed.counts, [1, 1]);
  assert.is(failed.status, 500);
});

test('forwards a close-delimited response as close-delimited', async () => {
  const closeDelimited: http.RequestListener = (request, response) => {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    answerWith(200)(request, response);
  };
  const target = createTarget(closeDelimited);
  await withRelay(
    { targets: [{ id: 't1', listener: target.listener }], route: lookup },
    async ({ url }) => {
      const answer = await call(url);
      assert.is(answer.text, 'status 200');
      assert.is(answer.headers['content-length'], undefined);
      assert.is(answer.headers['transfer-encoding'], undefined);
      assert.is(answer.headers.connection, 'close');
    },
  );
});

test('refuses unknown keys, and all keys while the plan is not confirmed as current', async () => {
  const target = createTarget(answerWith(200));
  let ageMs = 0;
  const options = {
    targets: [{ id: 't1', listener: target.listener }],
    route: lookup,
    planAgeMs: () => ageMs,
  };
  await withRelay(options, async ({ url, relay }) => {
    assert.is((await call(url, { headers: { 'x-key': 'wrong' } })).status, 401);
    assert.ok(relay.readiness().ready);
    ageMs = 4_500;
    const stale = await call(url);
    assert.is(stale.status, 503);
    assert.ok(Number(stale.headers['retry-after']) > 0);
    assert.is((await call(url, { headers: { 'x-key': 'wrong' } })).status, 503);
    assert.not(relay.readiness().ready);
    assert.is(target.count(), 0);
  });
});

test('responds with 404 without a matching route and with 413 to a body that is too large', async () => {
  const target = createTarget(answerWith(200));
  const options = { targets: [{ id: 't1', listener: target.listener }], route: lookup };
  await withRelay(options, async ({ url }) => {
    assert.is((await call(url, { path: '/other/1' })).status, 404);
    assert.is((await call(url, { body: 'x'.repeat(2_000) })).status, 413);
    assert.is(target.count(), 0);
  });
});

test('does not retry at one service beyond its budget for requests to another', async () => {
  const rejecting = ['t1', 't2', 't3', 't4'].map((id) => ({
    id,
    ...createTarget(answerWith(503, { 'x-not-run': '1' })),
  }));
  const requestCount = 100;
  const budget = { fraction: 0.2, reserve: 100 };
  await withRelay({ targets: rejecting, route: filing }, async ({ url }) => {
    for (let index = 0; index < requestCount; index += 1) {
      const others = Array.from({ length: 3 }, () => call(url, { path: `${otherPathPrefix}1` }));
      await Promise.all([call(url), ...others]);
    }
    const arrivals = rejecting.reduce((sum, target) => sum + target.count(), 0);
    const allowed = budget.fraction * requestCount + budget.reserve;
    assert.ok(arrivals - requestCount <= allowed, `${arrivals - requestCount} retries`);
    assert.ok(arrivals > requestCount, 'no rejected request was retried');
  });
});

test('completes requests in progress when it stops', async () => {
  const slow: http.RequestListener = (request, response) => {
    setTimeout(() => answerWith(200)(request, response), 300);
  };
  const relay = await createTestRelay({
    targets: [{ id: 't1', listener: createTarget(slow).listener }],
    route: { kind: 'non-idempotent', maxTargets: 1 },
  });
  const answered = call(relay.url);
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  const stopped = relay.stop();
  assert.not(relay.relay.readiness().ready);
  assert.is((await answered).status, 200);
  await stopped;
});

test.run();
