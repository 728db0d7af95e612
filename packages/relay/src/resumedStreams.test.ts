import type * as http from 'node:http';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from './testing/callers';
import { beginStream, createStreamTarget, eventsOf, resumeIdOf } from './testing/streams';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('streams that break off before a target answers with an error');

const breakDelayMs = 30;

/** Delivers three events, then breaks off in the middle of the next one. */
const broken: http.RequestListener = (request, response) => {
  beginStream(request, response, 's1');
  response.write(`${eventsOf(1, 3)}id: 4\nda`);
  setTimeout(() => response.destroy(), breakDelayMs);
};

interface ErrorAnswer {
  readonly status: number;
  readonly contentType?: string;
  readonly body: string;
  readonly headers?: Readonly<Record<string, string>>;
}

const createErrorTarget =
  ({ status, contentType = 'text/plain', body, headers }: ErrorAnswer): http.RequestListener =>
  (request, response) => {
    request.resume();
    response.writeHead(status, {
      'content-type': contentType,
      'x-id': String(request.headers['x-id']),
      'x-stamp': 's2',
      ...headers,
    });
    response.end(body);
  };

const bodies = [
  '',
  'internal error\n',
  'internal error\n\n',
  'HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\n\r\ninternal error\r\n\r\n',
  'data: internal error\n\n',
  'id: 4\ndata: internal error\n\n',
];
const answers: readonly ErrorAnswer[] = [
  ...[400, 404, 500, 502, 504].flatMap((status) => bodies.map((body) => ({ status, body }))),
  ...bodies.map((body) => ({ status: 500, contentType: 'text/event-stream', body })),
  ...bodies.map((body) => ({ status: 503, body, headers: { 'x-not-run': '1' } })),
  ...bodies.map((body) => ({ status: 200, body })),
  { status: 200, contentType: 'application/json', body: '{"error":"internal"}\n\n' },
  ...bodies
    .filter((body) => body !== '' && !body.startsWith('id: 4'))
    .map((body) => ({ status: 200, contentType: 'text/event-stream', body })),
];

const nameOf = ({ status, contentType = 'text/plain', body, headers = {} }: ErrorAnswer) =>
  `${status}, ${contentType}, ${JSON.stringify(body)}${Object.keys(headers).join()}`;

test('contain nothing of the error, and do not end as if they were complete', async () => {
  const wrong: string[] = [];
  for (const answer of answers) {
    const targets = [
      { id: 't1', listener: broken },
      { id: 't2', listener: createErrorTarget(answer) },
    ];
    await withRelay({ targets }, async ({ url }) => {
      const { text, isComplete } = await call(url);
      if (text !== eventsOf(1, 3) || isComplete) wrong.push(`${nameOf(answer)}: ${text}`);
    });
  }
  assert.equal(wrong, []);
});

test('go on at a third target after the error', async () => {
  const resumedAfter: number[] = [];
  const third: http.RequestListener = (request, response) => {
    resumedAfter.push(resumeIdOf(request));
    createStreamTarget(6, 's3')(request, response);
  };
  for (const answer of answers) {
    let answered = 0;
    /** The first request breaks off, the second one gets the error, the third one is served. */
    const listener: http.RequestListener = (request, response) => {
      answered += 1;
      [broken, createErrorTarget(answer), third][answered - 1]!(request, response);
    };
    const targets = ['t1', 't2', 't3'].map((id) => ({ id, listener }));
    await withRelay({ targets, route: { maxTargets: 3 } }, async ({ url }) => {
      const { text, isComplete } = await call(url);
      assert.is(text, eventsOf(1, 6), nameOf(answer));
      assert.ok(isComplete, nameOf(answer));
    });
  }
  assert.ok(resumedAfter.every((id) => id === 3));
});

test.run();
