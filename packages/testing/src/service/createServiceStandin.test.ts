import * as undici from 'undici';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as testing from '../index';

const test = uvu.suite('service stand-in');

const sendFiling = async (url: string, key: string) => {
  const response = await undici.request(`${url}/filings`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'idempotency-key': key },
    body: '{"kind":"fee-waiver"}',
    headersTimeout: 300,
  });
  await response.body.dump();
  return response.statusCode;
};

test('runs a request with a repeated key again unless it honours keys', async () => {
  const countRuns = async (honourKey: boolean) => {
    const service = testing.createServiceStandin({ honourKey });
    const { url } = await service.start();
    await sendFiling(url, 'k1');
    await sendFiling(url, 'k1');
    await service.stop();
    return service.runs().length;
  };
  assert.is(await countRuns(false), 2);
  assert.is(await countRuns(true), 1);
});

test('hangs before or after it runs a request', async () => {
  const service = testing.createServiceStandin();
  const { url } = await service.start();
  const sendAndReport = async () =>
    sendFiling(url, 'k2').then(
      () => 'answered',
      () => 'no answer',
    );
  service.setFaults({ hangBefore: 1 });
  assert.is(await sendAndReport(), 'no answer');
  assert.is(service.runs().length, 0);
  service.setFaults({ hangAfter: 1 });
  assert.is(await sendAndReport(), 'no answer');
  assert.is(service.runs().length, 1);
  const { statusCode, body } = await undici.request(`${url}/filings/by-key/k2`);
  await body.dump();
  await service.stop();
  assert.is(statusCode, 200);
});

test.run();
