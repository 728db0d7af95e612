import type * as http from 'node:http';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createTestGateway, testTokens } from './testing/createTestGateway';

const test = uvu.suite('answers with a malformed head at the gateway');

const body = '{"from":"target"}';
const soundHead = 'HTTP/1.1 200 OK\r\nx-a: b';
const heads = [
  ...testing.malformedStatusLines,
  ...testing.malformedFields.map((field) => `HTTP/1.1 200 OK\r\n${field}`),
];

interface Call {
  readonly path: string;
  readonly body?: string;
}

const calls: Readonly<Record<string, (index: number) => Call>> = {
  lookup: (index) => ({ path: `/cases/${index}` }),
  filing: (index) => ({ path: '/filings', body: `filing ${index}` }),
  'model request': (index) => ({
    path: '/v1/chat/completions',
    body: JSON.stringify({
      model: 'drafting',
      messages: [{ role: 'user', content: `draft ${index}` }],
    }),
  }),
};

const answerWith =
  (nextHead: () => string): http.RequestListener =>
  (request) => {
    request.resume();
    const fields = `content-type: application/json\r\ncontent-length: ${body.length}`;
    request.socket.end(`${nextHead()}\r\n${fields}\r\n\r\n${body}`, 'latin1');
  };

Object.entries(calls).forEach(([name, callOf]) =>
  test(`do not reach callers: ${name}`, async () => {
    let head = soundHead;
    const sentHeads = new Set<string>();
    const nextHead = () => {
      sentHeads.add(head);
      return head;
    };
    const gateway = await createTestGateway({
      target: answerWith(nextHead),
      retryBudgetFraction: 1,
    });
    const send = async (index: number) => {
      const { path, body: sentBody } = callOf(index);
      const response = await fetch(`${gateway.url}${path}`, {
        method: sentBody === undefined ? 'GET' : 'POST',
        headers: {
          authorization: `Bearer ${testTokens.court}`,
          'idempotency-key': `key-${index}`,
        },
        ...(sentBody === undefined ? {} : { body: sentBody }),
      });
      return { status: response.status, text: await response.text() };
    };
    assert.equal(await send(heads.length), { status: 200, text: body });
    const passedOn: string[] = [];
    for (const [index, malformed] of heads.entries()) {
      head = malformed;
      const { status, text } = await send(index);
      if (status < 300 || text === body) passedOn.push(`${JSON.stringify(malformed)}: ${status}`);
    }
    await gateway.stop();
    assert.equal(passedOn, []);
    assert.is(sentHeads.size, heads.length + 1);
  }),
);

test.run();
