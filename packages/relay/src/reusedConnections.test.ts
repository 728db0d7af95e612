import type * as http from 'node:http';
import type * as net from 'node:net';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from './testing/callers';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('late second answers on connections that are used again');

const callCount = 6;
const route = { kind: 'idempotent', maxTargets: 2 } as const;

/** Encodes the answer to a request, which names the request in its body too. */
const encodeAnswer = (
  status: number,
  requestId: string,
  header: string,
  namesRequest: boolean,
): string => {
  const body = `answer to ${requestId}`;
  return [
    `HTTP/1.1 ${status} X`,
    ...(namesRequest ? [`x-id: ${requestId}`] : []),
    'x-stamp: s',
    header,
    `content-length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
};

const copies = [
  { name: 'of an answer', status: 200, header: 'x-copy: 1' },
  { name: 'of a failure', status: 500, header: 'x-copy: 1' },
  { name: 'of a rejection', status: 503, header: 'x-not-run: 1' },
  {
    name: 'of a rejection that names no request',
    status: 503,
    header: 'x-not-run: 1',
    namesRequest: false,
  },
];

copies.forEach(({ name, status, header, namesRequest = true }) =>
  test(`are given to no other caller: a copy ${name}`, async () => {
    const lastIds = new Map<net.Socket, string>();
    let reuseCount = 0;
    const listener: http.RequestListener = (request, response) => {
      request.resume();
      const requestId = String(request.headers['x-id']);
      const lastId = lastIds.get(request.socket);
      lastIds.set(request.socket, requestId);
      if (lastId !== undefined) {
        reuseCount += 1;
        request.socket.write(encodeAnswer(status, lastId, header, namesRequest));
      }
      response.writeHead(200, { 'x-id': requestId, 'x-stamp': 's' }).end(`answer to ${requestId}`);
    };
    const targets = [{ id: 't1', listener }];
    await withRelay({ targets, route }, async ({ url }) => {
      for (let index = 0; index < callCount; index += 1) {
        const requestId = `r${index}`;
        const answer = await call(url, { headers: { 'x-id': requestId } });
        if (answer.status === 200) assert.is(answer.text, `answer to ${requestId}`);
        else assert.is(answer.status, 502, 'the request has run');
        assert.is(answer.headers['x-id'], requestId);
      }
    });
    assert.ok(reuseCount > 0, 'no connection was used again');
  }),
);

test.run();
