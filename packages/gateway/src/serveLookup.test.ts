import type * as http from 'node:http';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createTestGateway, testTokens, type TestGateway } from './testing/createTestGateway';

const test = uvu.suite('lookups and limits');

const withGateway = async (
  target: http.RequestListener,
  use: (gateway: TestGateway) => Promise<void>,
) => {
  const gateway = await createTestGateway({ target });
  try {
    await use(gateway);
  } finally {
    await gateway.stop();
  }
};

const get = async (url: string, path: string, token: string) => {
  const answer = await fetch(`${url}${path}`, { headers: { authorization: `Bearer ${token}` } });
  return { status: answer.status, headers: answer.headers, text: await answer.text() };
};

/** Creates a target that counts its calls and responds with the call number and the URL. */
const createCountingTarget = () => {
  let callCount = 0;
  const listener: http.RequestListener = (request, response) => {
    callCount += 1;
    const text = `${callCount} ${request.url}`;
    request.resume();
    setTimeout(() => response.end(text), 30);
  };
  return { listener, callCount: () => callCount };
};

test('sends identical concurrent lookups of one caller to the target once', async () => {
  const counting = createCountingTarget();
  await withGateway(counting.listener, async ({ url }) => {
    const answers = await Promise.all(
      Array.from({ length: 5 }, () => get(url, '/cases/7', testTokens.court)),
    );
    answers.forEach(({ status, text }) => assert.equal([status, text], [200, '1 /cases/7']));
    assert.is(counting.callCount(), 1);
  });
});

test('does not share lookups between callers', async () => {
  const counting = createCountingTarget();
  await withGateway(counting.listener, async ({ url }) => {
    const [court, office] = await Promise.all([
      get(url, '/cases/7', testTokens.court),
      get(url, '/cases/7', testTokens.office),
    ]);
    assert.is.not(court.text, office.text);
    assert.is(counting.callCount(), 2);
  });
});

test('caches a response for the time of its route, until the caller sends a filing', async () => {
  const counting = createCountingTarget();
  await withGateway(counting.listener, async ({ url }) => {
    const first = await get(url, '/kept/7', testTokens.court);
    assert.is((await get(url, '/kept/7', testTokens.court)).text, first.text);
    await fetch(`${url}/filings`, {
      method: 'POST',
      headers: { authorization: `Bearer ${testTokens.court}`, 'idempotency-key': 'k' },
      body: '{}',
    });
    assert.is.not((await get(url, '/kept/7', testTokens.court)).text, first.text);
  });
});

test('refuses requests over the limit of a customer, with a retry-after header', async () => {
  const counting = createCountingTarget();
  await withGateway(counting.listener, async ({ url }) => {
    const answers = await Promise.all(
      [1, 2, 3].map((number) => get(url, `/cases/${number}`, testTokens.limited)),
    );
    const refused = answers.filter(({ status }) => status === 429);
    assert.is(refused.length, 2);
    refused.forEach(({ headers, text }) => {
      assert.match(text, 'customer_limit');
      assert.is(headers.get('x-comfreydrum-ran'), 'not-run');
      assert.ok(Number(headers.get('retry-after')) >= 1);
    });
    assert.is((await get(url, '/cases/4', testTokens.limited)).status, 200);
  });
});

test.run();
