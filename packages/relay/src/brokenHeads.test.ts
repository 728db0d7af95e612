import type * as http from 'node:http';
import type * as net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from './testing/callers';
import { beginStream, eventsOf, resumeIdOf } from './testing/streams';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('answers whose target stops in the middle of the head');

type EndConnection = (socket: net.Socket) => void;

const ends: readonly EndConnection[] = [
  (socket) => socket.end(),
  (socket) => socket.resetAndDestroy(),
];
const eventCount = 3;

/** How a target frames the body of its answer. */
type Framing = 'length' | 'chunks' | 'close';
const framings: readonly Framing[] = ['length', 'chunks', 'close'];

const framingHeaders = (framing: Framing, body: string): readonly string[] => {
  if (framing === 'length') return [`content-length: ${body.length}`];
  return framing === 'chunks' ? ['transfer-encoding: chunked'] : [];
};

const encodeBody = (framing: Framing, body: string) =>
  framing === 'chunks' ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n` : body;

interface Answer {
  readonly head: string;
  readonly body: string;
}

const encodeAnswer = (framing: Framing, requestId: string, body: string): Answer => ({
  head: [
    'HTTP/1.1 200 OK',
    `x-id: ${requestId}`,
    'x-stamp: s',
    'content-type: text/event-stream',
    'connection: close',
    ...framingHeaders(framing, body),
    '\r\n',
  ].join('\r\n'),
  body: encodeBody(framing, body),
});

const informationalHeads = [
  '',
  'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n',
  'HTTP/1.1 102 Processing\r\nconnection: close\r\ncontent-length: 0\r\n\r\n',
];

/** Writes what comes before a place, in packets of their own, and ends the connection. */
const breakOff = async (socket: net.Socket, text: string, pauseMs: number, end: EndConnection) => {
  const half = Math.floor(text.length / 2);
  if (pauseMs > 0 && half > 0) {
    socket.write(text.slice(0, half));
    await delay(pauseMs);
    socket.write(text.slice(half));
  } else if (text !== '') socket.write(text);
  // A reset drops what has not been sent.
  await delay(2);
  end(socket);
};

interface Break {
  readonly framing: Framing;
  readonly before: string;
  readonly length: number;
  readonly end: EndConnection;
  readonly pauseMs: number;
}

/** Every place of the head of each kind of answer, each end of the connection. */
const breaks: readonly Break[] = framings.flatMap((framing) =>
  informationalHeads.flatMap((before, beforeIndex) => {
    const { head } = encodeAnswer(framing, 'r1', eventsOf(1, eventCount));
    return ends.flatMap((end, endIndex) =>
      Array.from({ length: head.length }, (_, length) => ({
        framing,
        before,
        length,
        end,
        pauseMs: (length + beforeIndex + endIndex) % 4 === 0 ? 2 : 0,
      })),
    );
  }),
);

const concurrency = 16;

/** Calls a relay once for each break of its targets' answers; returns the requests that were answered with 200. */
const callWithBreaks = async (url: string, cases: readonly Break[]) => {
  const answered: string[] = [];
  const waiting = [...cases.entries()];
  const work = async () => {
    for (let next = waiting.pop(); next !== undefined; next = waiting.pop()) {
      const [index, { framing, before, length }] = next;
      const { status, text, isComplete } = await call(url, { headers: { 'x-id': `r${index}` } });
      const name = `${framing}, ${before.length} bytes before, ${length} of the head`;
      if (status === 200) answered.push(`${name}: ${isComplete ? 'complete' : 'cut'}, ${text}`);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, work));
  return answered;
};

const answerWith =
  (cases: readonly Break[]): http.RequestListener =>
  (request) => {
    request.resume();
    const requestId = String(request.headers['x-id']);
    const { framing, before, length, end, pauseMs } = cases[Number(requestId.slice(1))]!;
    const { head } = encodeAnswer(framing, requestId, eventsOf(1, eventCount));
    void breakOff(request.socket, `${before}${head.slice(0, length)}`, pauseMs, end);
  };

const routes = [
  { kind: 'non-idempotent', maxTargets: 1 },
  { kind: 'idempotent', maxTargets: 1 },
  { kind: 'stream', maxTargets: 1 },
] as const;

routes.forEach((route) =>
  test(`are not successes for callers: ${route.kind}`, async () => {
    const targets = [{ id: 't1', listener: answerWith(breaks) }];
    await withRelay({ targets, route, slots: 1_000 }, async ({ url }) => {
      assert.equal(await callWithBreaks(url, breaks), []);
    });
  }),
);

test('are not successes for callers on a connection that has served before', async () => {
  const served = new WeakSet<net.Socket>();
  let reusedCount = 0;
  const breakNext = answerWith(breaks);
  const listener: http.RequestListener = (request, response) => {
    if (served.has(request.socket)) {
      reusedCount += 1;
      breakNext(request, response);
      return;
    }
    served.add(request.socket);
    request.resume();
    const requestId = String(request.headers['x-id']);
    response.writeHead(200, { 'x-id': requestId, 'x-stamp': 's' }).end('whole');
  };
  const route = { kind: 'idempotent', maxTargets: 1 } as const;
  const targets = [{ id: 't1', listener }];
  await withRelay({ targets, route, slots: 1_000 }, async ({ url }) => {
    const answered = await callWithBreaks(url, breaks);
    assert.equal(
      answered.filter((answer) => !answer.endsWith('complete, whole')),
      [],
    );
  });
  assert.ok(reusedCount > breaks.length / 4, `${reusedCount} on used connections`);
});

test('do not end a stream that another target has begun as if it were complete', async () => {
  const cases = breaks.filter(({ before }) => before === '');
  const breakHead = answerWith(cases);
  let resumedCount = 0;
  const listener: http.RequestListener = (request, response) => {
    if (resumeIdOf(request) > 0) {
      resumedCount += 1;
      breakHead(request, response);
      return;
    }
    beginStream(request, response, 's');
    response.write(eventsOf(1, 1));
    setTimeout(() => response.destroy(), 5);
  };
  const targets = ['t1', 't2'].map((id) => ({ id, listener }));
  const options = { targets, slots: 1_000, fleetRetryReserve: 100_000 };
  await withRelay(options, async ({ url }) => {
    const answered = await callWithBreaks(url, cases);
    const cut = answered.filter((answer) => answer.endsWith(`cut, ${eventsOf(1, 1)}`));
    assert.equal(
      answered.filter((answer) => !cut.includes(answer)),
      [],
    );
  });
  assert.ok(resumedCount > cases.length / 2, `${resumedCount} of ${cases.length} resumed`);
});

test.run();
