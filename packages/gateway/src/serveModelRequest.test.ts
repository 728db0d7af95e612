import type * as http from 'node:http';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import {
  createTestGateway,
  testTokens,
  type TestGatewayOptions,
} from './testing/createTestGateway';

const test = uvu.suite('serve model request');

const chat = { model: 'drafting', stream: true, messages: [{ role: 'user', content: 'hello' }] };

/** Creates leaders of which the first one called disconnects after one token and the next one resumes. */
const createDisconnectingLeaders = () => {
  const askedGroupIds: string[] = [];
  const target: http.RequestListener = (request, response) => {
    request.resume();
    if (request.url === '/presence') {
      const groupId = askedGroupIds.at(-1);
      response.end(JSON.stringify({ groupId, generation: 1, phase: 'ready' }));
      return;
    }
    askedGroupIds.push(String(request.headers['x-group-id']));
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    if (askedGroupIds.length === 1) {
      response.write('data: {"token_index":0}\n\n');
      setImmediate(() => response.destroy());
    } else response.end('data: {"token_index":1}\n\ndata: [DONE]\n\n');
  };
  return { target, askedGroupIds };
};

const sendChat = async (loaded: TestGatewayOptions['loaded'], body: object = chat) => {
  const { target, askedGroupIds } = createDisconnectingLeaders();
  const gateway = await createTestGateway({ target, loaded: loaded ?? [{}] });
  try {
    const answer = await fetch(`${gateway.url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${testTokens.court}` },
      body: JSON.stringify(body),
    });
    return { answer, text: await answer.text(), askedGroupIds };
  } finally {
    await gateway.stop();
  }
};

test('resumes a stream on another group of the same version', async () => {
  const { text, askedGroupIds } = await sendChat([{}, {}]);
  assert.equal([...askedGroupIds].sort(), ['group-1', 'group-2']);
  assert.match(text, /"token_index":1[^]*\[DONE\]/);
});

test('ends a stream with an error instead of resuming it on another version', async () => {
  const { text, askedGroupIds } = await sendChat([{}, { modelVersion: 'v2' }]);
  assert.is(askedGroupIds.length, 1);
  assert.match(text, '"ran":"unknown"');
});

const adapterChat = { ...chat, model: 'rotations' };

test('sends a request for an adapter to a group that has loaded it', async () => {
  const loaded = [{}, {}, { adapters: ['rotations'] }, {}];
  const { askedGroupIds } = await sendChat(loaded, adapterChat);
  assert.equal(askedGroupIds, ['group-3']);
});

test('refuses a request for an adapter that no group has loaded yet', async () => {
  const { answer, askedGroupIds } = await sendChat([{}], adapterChat);
  assert.equal(askedGroupIds, []);
  assert.is(answer.status, 503);
  assert.is(answer.headers.get('x-comfreydrum-ran'), 'not-run');
  assert.ok(Number(answer.headers.get('retry-after')) >= 1);
});

test.run();
