import * as undici from 'undici';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as testing from '../index';

interface Context {
  engine: testing.EngineStandin;
  url: string;
}

const test = uvu.suite<Context>('engine stand-in');

const fastOptions = { tokenMs: 1, prefillMsPerToken: 0, loadMs: 1, loadLagMs: 0 };

const isReady = async (url: string) => {
  const { body } = await undici.request(`${url}/presence`);
  return ((await body.json()) as { phase: string }).phase === 'ready';
};

test.before.each(async (context) => {
  context.engine = testing.createEngineStandin({
    ...fastOptions,
    preloadedModel: 'desk',
    maxRunning: 2,
  });
  context.url = (await context.engine.start()).url;
  await testing.waitUntil(() => isReady(context.url), 2_000, 'the engine to be ready');
});

test.after.each(({ engine }) => engine.stop());

const post = (url: string, path: string, body: object, headers: Record<string, string> = {}) =>
  undici.request(`${url}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
  });

const complete = (url: string, body: object, headers?: Record<string, string>) =>
  post(url, '/v1/completions', { model: 'desk', ...body }, headers);

const readStream = async (response: undici.Dispatcher.ResponseData) => {
  const text = await response.body.text();
  const lines = text.split('\n\n').filter((line) => line !== '');
  assert.is(lines.pop(), 'data: [DONE]');
  return lines.map(
    (line) =>
      JSON.parse(line.slice('data: '.length)) as {
        choices: { text: string }[];
        token_index: number;
        usage?: { completion_tokens: number };
      },
  );
};

test('streams the text derived from the prompt and resumes it at a token', async ({ url }) => {
  const request = { prompt: 'fault E9', stream: true, max_tokens: 6 };
  const events = await readStream(await complete(url, request));
  const text = events.map(({ choices }) => choices[0]!.text).join('');
  assert.is(text, testing.expectedText('fault E9', 6));
  assert.is(events.at(-1)?.usage?.completion_tokens, 6);
  const rest = await readStream(await complete(url, { ...request, resume_from_token: 4 }));
  assert.equal(
    rest.map(({ token_index: index }) => index),
    [4, 5, 6],
  );
});

test('injects the requested faults into a stream', async ({ url }) => {
  const ask = async (faults: testing.EventFaultCounts) => {
    await (await post(url, '/control/faults', faults)).body.dump();
    const response = await complete(url, { prompt: 'p', stream: true, max_tokens: 4 });
    return response.body.text();
  };
  const indexesIn = (text: string) =>
    [...text.matchAll(/"token_index":(\d+)/g)].map(([, index]) => Number(index));
  assert.equal(indexesIn(await ask({ duplicatedEvents: 1 })), [0, 0, 1, 2, 3, 4]);
  assert.equal(indexesIn(await ask({ swappedEvents: 1 })), [1, 0, 2, 3, 4]);
  assert.equal(indexesIn(await ask({ foreignEvents: 1 })), [0, 0, 1, 2, 3, 4]);
  assert.not.match(await ask({ silentEnds: 1 }), 'DONE');
  assert.not.match(await ask({ tornEvents: 1 }), '\n\n');
});

test('runs the lower priority value first when the batch is full', async ({ url, engine }) => {
  const requests = [
    { id: 'a', priority: 0, tokens: 100_000 },
    { id: 'b', priority: 0, tokens: 100_000 },
    { id: 'batch', priority: 9, tokens: 1 },
    { id: 'urgent', priority: 1, tokens: 1 },
  ];
  const answers: Promise<unknown>[] = [];
  for (const [index, { id, priority, tokens }] of requests.entries()) {
    const body = { prompt: id, max_tokens: tokens, priority };
    const answer = complete(url, body, { 'x-request-id': id }).then((response) =>
      response.body.text(),
    );
    answers.push(answer.catch(() => 'cancelled'));
    await testing.waitUntil(() => engine.activeCount() > index, 2_000, `request ${id} to arrive`);
  }
  await (await post(url, '/cancel', { requestId: 'a' })).body.dump();
  await (await post(url, '/cancel', { requestId: 'b' })).body.dump();
  assert.equal((await Promise.all(answers)).slice(0, 2), ['cancelled', 'cancelled']);
  const order = engine.served().map(({ requestId }) => requestId);
  assert.equal(order, ['a', 'b', 'urgent', 'batch']);
});

test('frees the slot of a request whose caller closes the connection', async ({ url, engine }) => {
  const response = await complete(url, { prompt: 'long', stream: true, max_tokens: 100_000 });
  response.body.on('error', () => {});
  response.body.destroy();
  await testing.waitUntil(() => engine.activeCount() === 0, 2_000, 'the slot to be free');
  assert.is(engine.served()[0]!.outcome, 'cancelled');
});

test('rejects older generations only when fencing is checked', async () => {
  const order = { order: 'load', groupId: 'g', model: 'desk', members: [] };
  const answer = async (fencing: 'checked' | 'ignored') => {
    const engine = testing.createEngineStandin({ ...fastOptions, fencing });
    const { url } = await engine.start();
    await (await post(url, '/orders', { ...order, generation: 7 })).body.dump();
    const response = await post(url, '/orders', { ...order, generation: 6 });
    await response.body.dump();
    await engine.stop();
    return response.statusCode;
  };
  assert.is(await answer('checked'), 409);
  assert.is(await answer('ignored'), 200);
});

test('stalls the streams of a leader when a member is missing', async () => {
  const engines = ['m0', 'm1'].map((instanceId) =>
    testing.createEngineStandin({ ...fastOptions, instanceId }),
  );
  const [leader, member] = engines as [testing.EngineStandin, testing.EngineStandin];
  const addresses = await Promise.all(engines.map((engine) => engine.start()));
  const members = addresses.map(({ url }, rank) => ({ instanceId: `m${rank}`, url }));
  const [{ url }] = addresses as [testing.StandinAddress];
  const order = { order: 'load', groupId: 'g', generation: 1, model: 'desk', members };
  for (const [rank, address] of addresses.entries()) {
    await (await post(address.url, '/orders', { ...order, rank })).body.dump();
  }
  await testing.waitUntil(() => isReady(url), 2_000, 'the leader to be ready');
  const response = await complete(url, { prompt: 'long', stream: true, max_tokens: 100_000 });
  let chunkCount = 0;
  response.body.on('error', () => {});
  response.body.on('data', () => {
    chunkCount += 1;
  });
  await testing.waitUntil(() => chunkCount > 2, 2_000, 'tokens');
  await member.stop();
  let lastCount = -1;
  const hasStalled = () => {
    const isSame = chunkCount === lastCount;
    lastCount = chunkCount;
    return isSame;
  };
  await testing.waitUntil(hasStalled, 5_000, 'the stream to stall', 300);
  response.body.destroy();
  await leader.stop();
});

test.run();
