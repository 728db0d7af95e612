import type * as http from 'node:http';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call, type CallerResponse } from './testing/callers';
import type { TestRelayOptions } from './testing/createTestRelay';
import { beginStream, createStreamTarget, eventOf, eventsOf, resumeIdOf } from './testing/streams';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('answers without end');

type Route = TestRelayOptions['route'];
type Start = (request: http.IncomingMessage) => string;

/** Far below the time limit of the route, which would also end the request. */
const soonMs = 1_000;
/** Far above what any head or event takes, and far below what is sent within the time limit. */
const maxSentBytes = 1_048_576;
/** Within which another target takes over a silent stream. */
const takeoverMs = 2_000;
const maxAnswerBytes = 16_777_216;
const largeWriteBytes = 1_048_576;

const filing = { kind: 'non-idempotent', maxTargets: 1 } as const;
const lookup = { kind: 'idempotent', maxTargets: 2, latencyTargetMs: 2_000 } as const;
const singleStream = { isResumable: false } as const;
/** Resumable, with a latency target that no hedge reaches within the time of a test. */
const patientStream = { latencyTargetMs: 2_000, gapTargetMs: 2_000 } as const;

const headOf =
  (status: number, ...lines: readonly string[]): Start =>
  ({ headers }) =>
    [
      `HTTP/1.1 ${status} S`,
      `x-id: ${String(headers['x-id'])}`,
      'x-stamp: s',
      ...lines,
      '',
      '',
    ].join('\r\n');

const chunked = 'transfer-encoding: chunked';
const streamHead = headOf(200, chunked);

const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Returns a chunk of about a kilobyte that repeats the text. */
const chunkOfMany = (text: string): string => chunkOf(text.repeat(Math.ceil(1_024 / text.length)));

const afterEvents =
  (last: number): Start =>
  (request) =>
    streamHead(request) + chunkOf(eventsOf(resumeIdOf(request) + 1, last));

interface Expectation {
  readonly route: Route;
  readonly answer: testing.EndlessAnswer;
  readonly check: (response: CallerResponse) => void;
  readonly other?: http.RequestListener;
  readonly mostSentBytes?: number;
  readonly mostMs?: number;
}

/** Calls a relay whose first target sends `answer`; checks the response and that the connection is closed soon. */
const assertEndsSoon = async (expectation: Expectation) => {
  const { route, answer, check, other } = expectation;
  const { mostSentBytes = maxSentBytes, mostMs = soonMs } = expectation;
  const endless = testing.createEndlessTarget(answer);
  const targets = [
    { id: 't1', listener: endless.listener },
    ...(other === undefined ? [] : [{ id: 't2', listener: other }]),
  ];
  await withRelay({ targets, route: { ...route } }, async ({ url }) => {
    const startedAtMs = performance.now();
    check(await call(url));
    const isClosed = () => endless.counts().closedConnections === endless.counts().requests;
    await testing.waitUntil(isClosed, soonMs, 'the connection to be closed');
    const tookMs = performance.now() - startedAtMs;
    const { requests, sentBytes } = endless.counts();
    assert.ok(requests >= 1);
    assert.ok(tookMs < mostMs, `took ${tookMs} ms`);
    assert.ok(sentBytes < mostSentBytes, `the target sent ${sentBytes} bytes`);
  });
};

const isFailure = ({ status, isComplete }: CallerResponse) =>
  assert.equal([status, isComplete], [502, true]);

const isCutAfter = (last: number) => (response: CallerResponse) => {
  assert.equal([response.status, response.text], [200, eventsOf(1, last)]);
  assert.not(response.isComplete);
};

const isWhole = (text: string) => (response: CallerResponse) => {
  assert.equal([response.status, response.text], [200, text]);
  assert.ok(response.isComplete);
};

const answerWell: http.RequestListener = (request, response) => {
  request.resume();
  response.writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's' }).end('ok');
};

const statusLine = { start: () => 'HTTP/1.1 200 ', repeated: 'a' };
const informational = { repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n' };
const longBody = (start: Start) => ({ start, repeated: 'a', bytesPerWrite: largeWriteBytes });
/** The limit, and what the buffers of the sockets may hold beyond it. */
const mostBodyBytes = 2 * maxAnswerBytes;

test('answers an exchange with 502 when its target sends a head without end: a status line', () =>
  assertEndsSoon({ route: filing, answer: statusLine, check: isFailure }));

test('answers an exchange with 502 when its target sends a head without end: informational responses', () =>
  assertEndsSoon({ route: filing, answer: informational, check: isFailure }));

test('answers an exchange with 502 when its target sends a head without end: header lines', () =>
  assertEndsSoon({
    route: filing,
    answer: { start: () => 'HTTP/1.1 200 OK\r\n', repeated: 'a: b\r\n' },
    check: isFailure,
  }));

test('answers an exchange with 502 when its target sends bytes without end that are no HTTP', () =>
  assertEndsSoon({ route: filing, answer: { repeated: 'once upon a time ' }, check: isFailure }));

test('answers an exchange from another target when the first one sends a head without end', () =>
  assertEndsSoon({ route: lookup, answer: statusLine, check: isWhole('ok'), other: answerWell }));

test('answers an exchange with 502 when its target sends a chunk extension without end', () =>
  assertEndsSoon({
    route: filing,
    answer: { start: (request) => `${headOf(200, chunked)(request)}5;`, repeated: 'a' },
    check: isFailure,
  }));

test('answers an exchange with 502 when its target sends a body without end: in chunks', () =>
  assertEndsSoon({
    route: filing,
    answer: {
      start: headOf(200, chunked),
      repeated: chunkOf('a'.repeat(16_384)),
      bytesPerWrite: largeWriteBytes,
    },
    check: isFailure,
    mostSentBytes: mostBodyBytes,
  }));

test('answers an exchange with 502 when its target sends a body without end: without a length', () =>
  assertEndsSoon({
    route: filing,
    answer: longBody(headOf(200)),
    check: isFailure,
    mostSentBytes: mostBodyBytes,
  }));

test('answers an exchange with 502 when its target sends a body without end: of an error status', () =>
  assertEndsSoon({
    route: filing,
    answer: longBody(headOf(500)),
    check: isFailure,
    mostSentBytes: mostBodyBytes,
  }));

test('reads nothing of a body without end whose length is beyond the limit', () =>
  assertEndsSoon({
    route: filing,
    answer: { start: headOf(200, `content-length: ${maxAnswerBytes + 1}`), repeated: 'a' },
    check: isFailure,
  }));

test('forwards a sound answer to a HEAD request, whatever length it announces', async () => {
  const listener: http.RequestListener = (request, response) => {
    const length = { 'content-length': maxAnswerBytes + 1 };
    response.writeHead(200, { 'x-id': String(request.headers['x-id']), ...length }).end();
  };
  await withRelay({ targets: [{ id: 't1', listener }], route: filing }, async ({ url }) => {
    assert.is((await call(url, { method: 'HEAD', body: '' })).status, 200);
  });
});

test('reads nothing of a body without end when the target says that it did not run the request', () =>
  assertEndsSoon({
    route: filing,
    answer: { start: headOf(503, 'x-not-run: 1'), repeated: 'a' },
    check: ({ status }) => assert.is(status, 503),
  }));

test('reads nothing of a body without end that belongs to another request', () =>
  assertEndsSoon({
    route: filing,
    answer: {
      start: () => 'HTTP/1.1 200 OK\r\nx-id: another\r\nx-stamp: s\r\n\r\n',
      repeated: 'a',
    },
    check: isFailure,
  }));

test('closes the connection when bytes without end follow the whole answer to an exchange', () =>
  assertEndsSoon({
    route: filing,
    answer: {
      start: (request) => `${headOf(200, 'content-length: 2')(request)}ok`,
      repeated: 'HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nno',
    },
    check: isWhole('ok'),
  }));

test('ends a stream when its target sends a head without end', () =>
  assertEndsSoon({ route: singleStream, answer: statusLine, check: isFailure }));

test('resumes a stream at another target when the first one sends a head without end', () =>
  assertEndsSoon({
    route: patientStream,
    answer: informational,
    check: isWhole(eventsOf(1, 4)),
    other: createStreamTarget(4, 'other'),
  }));

test('ends a stream when its target sends a body without end: a first event', () =>
  assertEndsSoon({
    route: singleStream,
    answer: { start: streamHead, repeated: chunkOfMany('data: a\n') },
    check: isFailure,
  }));

test('ends a stream when its target sends a body without end: a later event', () =>
  assertEndsSoon({
    route: singleStream,
    answer: { start: afterEvents(2), repeated: chunkOfMany('data: a\n') },
    check: isCutAfter(2),
  }));

test('ends a stream when its target sends a body without end: a chunk extension', () =>
  assertEndsSoon({
    route: singleStream,
    answer: {
      start: (request) => `${afterEvents(1)(request)}5;`,
      repeated: 'a',
    },
    check: isCutAfter(1),
  }));

for (const [kind, repeated] of [
  ['comments', ': still here\n\n'],
  ['empty lines', '\n'],
  ['fields without data', 'event: token\nretry: 1\n\n'],
] as const) {
  test(`ends a stream when its target sends a body without end: ${kind} between its events`, () =>
    assertEndsSoon({
      route: singleStream,
      answer: { start: afterEvents(2), repeated: chunkOfMany(repeated) },
      check: ({ status, text, isComplete }) => {
        assert.equal([status, isComplete], [200, false]);
        assert.ok(text.startsWith(eventsOf(1, 2)));
      },
    }));
}

test('resumes a stream at another target when the first one sends an event without end', () =>
  assertEndsSoon({
    route: patientStream,
    answer: { start: afterEvents(2), repeated: chunkOfMany('data: a\n') },
    check: isWhole(eventsOf(1, 4)),
    other: createStreamTarget(4, 'other'),
  }));

test('resumes a stream at another target when the first one sends an event without end slowly', () =>
  assertEndsSoon({
    route: {},
    answer: {
      start: afterEvents(2),
      repeated: chunkOf('a'),
      bytesPerWrite: 1,
      intervalMs: 20,
    },
    check: isWhole(eventsOf(1, 4)),
    other: createStreamTarget(4, 'other'),
    mostMs: takeoverMs,
  }));

test('resumes a stream at another target when the first one slowly sends comments without end', () =>
  assertEndsSoon({
    route: {},
    answer: {
      start: afterEvents(2),
      repeated: chunkOf(': still here\n\n'),
      bytesPerWrite: 1,
      intervalMs: 20,
    },
    check: isWhole(eventsOf(1, 4)),
    other: createStreamTarget(4, 'other'),
    mostMs: takeoverMs,
  }));

test('does not let a close-delimited stream look complete when it is cut off in an event without end', () =>
  assertEndsSoon({
    route: singleStream,
    answer: {
      start: (request) => headOf(200)(request) + eventsOf(1, 2),
      repeated: 'data: a\n',
    },
    check: ({ status, isComplete }) => assert.equal([status, isComplete], [200, false]),
  }));

test('reads nothing of a body without end of an error status at the start of a stream', () =>
  assertEndsSoon({
    route: singleStream,
    answer: { start: headOf(500), repeated: 'a' },
    check: isFailure,
  }));

for (const [kind, route, start] of [
  ['a head without end', filing, () => 'HTTP/1.1 200 '],
  ['a body without end', filing, headOf(200)],
  ['an event without end', singleStream, headOf(200)],
] as const) {
  test(`answers with 504 at the time limit when its target sends ${kind} slowly`, async () => {
    const slow = testing.createEndlessTarget({
      start,
      repeated: 'a',
      bytesPerWrite: 1,
      intervalMs: 20,
    });
    const limitMs = 400;
    const targets = [{ id: 't1', listener: slow.listener }];
    await withRelay({ targets, route }, async ({ url }) => {
      const answer = await call(url, { headers: { 'x-limit-ms': String(limitMs) } });
      assert.is(answer.status, 504);
      const isClosed = () => slow.counts().closedConnections === 1;
      await testing.waitUntil(isClosed, soonMs, 'the connection to be closed');
    });
  });
}

test('serves requests on other connections while targets send answers without end', async () => {
  const endless = testing.createEndlessTarget({
    start: streamHead,
    repeated: chunkOfMany('data: a\n'),
  });
  const targets = [
    { id: 't1', listener: endless.listener },
    { id: 't2', listener: createStreamTarget(20, 'other') },
  ];
  await withRelay({ targets, route: patientStream, slots: 16 }, async ({ url }) => {
    const startedAtMs = performance.now();
    const answers = await Promise.all(Array.from({ length: 10 }, () => call(url)));
    answers.forEach(isWhole(eventsOf(1, 20)));
    const tookMs = performance.now() - startedAtMs;
    assert.ok(tookMs < soonMs, `took ${tookMs} ms`);
    assert.ok(endless.counts().requests > 0);
    assert.ok(endless.counts().sentBytes < endless.counts().requests * maxSentBytes);
  });
});

const smallMemory = { answerBytes: 2_097_152, bodyBytes: 2_097_152 };

// Guards against answers that fit one by one and together take the memory of the daemon.
test('gives up the largest answers when many come without end, and keeps the others whole', async () => {
  const endless = testing.createEndlessTarget({
    start: headOf(200),
    repeated: 'a',
    bytesPerWrite: 65_536,
  });
  const small = Buffer.alloc(100_000, 'b').toString();
  const listener: http.RequestListener = (request, response) => {
    if (request.headers['x-kind'] === 'endless') endless.listener(request, response);
    else {
      request.resume();
      response.writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's' });
      setTimeout(() => response.end(small), 50);
    }
  };
  const targets = [{ id: 't1', listener }];
  await withRelay({ targets, route: filing, memory: smallMemory }, async ({ url }) => {
    const startedAtMs = performance.now();
    const endlessCalls = Array.from({ length: 20 }, () =>
      call(url, { headers: { 'x-kind': 'endless' } }),
    );
    const soundCalls = Array.from({ length: 5 }, () => call(url));
    (await Promise.all(soundCalls)).forEach(isWhole(small));
    (await Promise.all(endlessCalls)).forEach(isFailure);
    assert.ok(performance.now() - startedAtMs < 2 * soonMs);
    assert.ok(
      endless.counts().sentBytes < 20 * maxSentBytes,
      `${endless.counts().sentBytes} bytes`,
    );
  });
});

test('gives up the largest unfinished events when many streams have them', async () => {
  const endless = testing.createEndlessTarget({
    start: (request) => afterEvents(2)(request) + chunkOf(`data: ${'a'.repeat(60_000)}`),
    repeated: chunkOf('a'),
    bytesPerWrite: 1,
    intervalMs: 1_000,
  });
  const targets = [{ id: 't1', listener: endless.listener }];
  const memory = { ...smallMemory, answerBytes: 200_000 };
  await withRelay({ targets, route: singleStream, slots: 16, memory }, async ({ url }) => {
    const headers = { 'x-limit-ms': '1500' };
    const startedAtMs = performance.now();
    const endedAtMs: number[] = [];
    const answers = await Promise.all(
      Array.from({ length: 8 }, async () => {
        const answer = await call(url, { headers });
        endedAtMs.push(performance.now() - startedAtMs);
        return answer;
      }),
    );
    answers.forEach(isCutAfter(2));
    assert.is(endedAtMs.filter((ms) => ms < soonMs).length, 5, 'three of 60 kB fit');
  });
});

test('forwards a sound stream whatever its length, with comments between its events', async () => {
  const text = Array.from(
    { length: 20_000 },
    (_, index) => `: comment ${index}\n\n${eventOf(index + 1)}`,
  ).join('');
  const listener: http.RequestListener = (request, response) => {
    beginStream(request, response, 's');
    response.end(text);
  };
  await withRelay({ targets: [{ id: 't1', listener }] }, async ({ url }) =>
    isWhole(text)(await call(url)),
  );
});

test('forwards comments after the last event of a sound stream', async () => {
  const text = `${eventsOf(1, 2)}: end\n\n`;
  const listener: http.RequestListener = (request, response) => {
    beginStream(request, response, 's');
    response.end(text);
  };
  await withRelay({ targets: [{ id: 't1', listener }] }, async ({ url }) =>
    isWhole(text)(await call(url)),
  );
});

test('forwards a sound event of some tens of kilobytes', async () => {
  const text = `id: 1\ndata: ${'a'.repeat(60_000)}\n\n`;
  const listener: http.RequestListener = (request, response) => {
    beginStream(request, response, 's');
    response.end(text);
  };
  await withRelay({ targets: [{ id: 't1', listener }] }, async ({ url }) =>
    isWhole(text)(await call(url)),
  );
});

test('forwards a sound answer to an exchange up to the limit, with a length and in chunks', async () => {
  const body = Buffer.alloc(maxAnswerBytes, 'a');
  for (const hasLength of [true, false]) {
    const listener: http.RequestListener = (request, response) => {
      request.resume();
      const length = hasLength ? { 'content-length': body.length } : {};
      response.writeHead(200, { 'x-id': String(request.headers['x-id']), ...length });
      response.end(body);
    };
    await withRelay({ targets: [{ id: 't1', listener }], route: filing }, async ({ url }) => {
      const answer = await call(url);
      assert.equal([answer.status, answer.text.length], [200, maxAnswerBytes]);
      assert.ok(answer.isComplete);
    });
  }
});

test.run();
