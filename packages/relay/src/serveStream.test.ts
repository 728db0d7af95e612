import type * as http from 'node:http';
import * as net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call, type CallerResponse } from './testing/callers';
import { testKey, testModel } from './testing/createTestRelay';
import { beginStream, eventOf, eventsOf, resumeIdOf, createStreamTarget } from './testing/streams';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('streaming requests');

/** Creates a target that responds by `listener` and records its requests. */
const createRecordingTarget = (listener: http.RequestListener) => {
  const seen: http.IncomingMessage[] = [];
  const counted: http.RequestListener = (request, response) => {
    seen.push(request);
    listener(request, response);
  };
  return { listener: counted, seen };
};

test('forwards a stream with the headers of the target', async () => {
  await withRelay(
    { targets: [{ id: 't1', listener: createStreamTarget(5, 's1') }] },
    async ({ url }) => {
      const answer = await call(url);
      assert.is(answer.status, 200);
      assert.is(answer.text, eventsOf(1, 5));
      assert.ok(answer.isComplete);
      assert.is(answer.headers['x-stamp'], 's1');
    },
  );
});

test('forwards the headers of a stream that has no events left', async () => {
  const empty: http.RequestListener = (request, response) => {
    beginStream(request, response, 's1');
    response.end();
  };
  await withRelay({ targets: [{ id: 't1', listener: empty }] }, async ({ url }) => {
    const answer = await call(url);
    assert.is(answer.status, 200);
    assert.is(answer.text, '');
    assert.ok(answer.isComplete);
    assert.is(answer.headers['x-stamp'], 's1');
  });
});

test('resumes at another group when the connection of a target is reset in the middle of an event', async () => {
  const torn: http.RequestListener = (request, response) => {
    beginStream(request, response, 's1');
    response.write(`${eventsOf(1, 3)}id: 4\nda`);
    setTimeout(() => response.destroy(), 30);
  };
  const second = createRecordingTarget(createStreamTarget(6, 's2'));
  const targets = [
    { id: 't1', listener: torn },
    { id: 't2', listener: second.listener },
  ];
  await withRelay({ targets }, async ({ url, suspected }) => {
    const answer = await call(url);
    assert.is(answer.text, eventsOf(1, 6), 'no event is missing, torn or repeated');
    assert.ok(answer.isComplete);
    assert.is(answer.headers['x-stamp'], 's1', 'the response has the headers of the first run');
    assert.is(resumeIdOf(second.seen[0]!), 3);
    assert.equal(suspected, ['t1']);
  });
});

test('moves a stalled stream only once its group has lost a member', async () => {
  const silent: http.RequestListener = (request, response) => {
    beginStream(request, response, 's1');
    response.write(eventOf(1));
  };
  let isLost = false;
  const second = createRecordingTarget(createStreamTarget(4, 's2'));
  const targets = [
    { id: 't1', listener: silent },
    { id: 't2', listener: second.listener },
  ];
  await withRelay({ targets, confirmLoss: () => isLost }, async ({ url }) => {
    const answered = call(url);
    await new Promise((resolve) => {
      setTimeout(resolve, 400);
    });
    assert.is(second.seen.length, 0, 'a silent stream alone is not treated as a loss');
    isLost = true;
    const answer = await answered;
    assert.is(answer.text, eventsOf(1, 4));
    assert.is(second.seen.length, 1);
  });
});

test('moves a stream from a stalled head although its members respond', async () => {
  const silent: http.RequestListener = (request) => {
    request.resume();
  };
  const targets = [
    { id: 't1', listener: silent },
    { id: 't2', listener: createStreamTarget(2, 's2') },
  ];
  await withRelay({ targets }, async ({ url }) => {
    const answer = await call(url);
    assert.is(answer.text, eventsOf(1, 2));
  });
});

test('does not end a stream as complete when it fails and can not be resumed', async () => {
  const broken: http.RequestListener = (request, response) => {
    beginStream(request, response, 's1');
    response.write(eventsOf(1, 2));
    setTimeout(() => response.destroy(), 30);
  };
  const second = createRecordingTarget(createStreamTarget(4, 's2'));
  const targets = [
    { id: 't1', listener: broken },
    { id: 't2', listener: second.listener },
  ];
  await withRelay({ targets, route: { isResumable: false } }, async ({ url }) => {
    const answer = await call(url);
    assert.is(answer.text, eventsOf(1, 2));
    assert.not(answer.isComplete);
    assert.is(second.seen.length, 0);
  });
});

test('delivers no event twice when a stream without event ids breaks off', async () => {
  const unnumbered = 'data: token\n\n';
  const torn: http.RequestListener = (request, response) => {
    beginStream(request, response, 's1');
    response.write(unnumbered);
    setTimeout(() => response.destroy(), 30);
  };
  const second = createRecordingTarget((request, response) => {
    beginStream(request, response, 's2');
    response.end(unnumbered);
  });
  const targets = [
    { id: 't1', listener: torn },
    { id: 't2', listener: second.listener },
  ];
  await withRelay({ targets }, async ({ url }) => {
    const { text, isComplete } = await call(url);
    assert.equal([text, isComplete], [unnumbered, false]);
    assert.is(second.seen.length, 0);
  });
});

test('aborts a stream when the target skips or repeats an event', async () => {
  for (const wrong of [eventsOf(1, 2) + eventOf(4), eventsOf(1, 2) + eventOf(2)]) {
    const faulty: http.RequestListener = (request, response) => {
      beginStream(request, response, 's1');
      response.end(wrong);
    };
    await withRelay(
      { targets: [{ id: 't1', listener: faulty }], route: { maxTargets: 1 } },
      async ({ url }) => {
        const answer = await call(url);
        assert.is(answer.text, eventsOf(1, 2));
        assert.not(answer.isComplete);
      },
    );
  }
});

const closeDelimited: http.RequestListener = (request, response) => {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  beginStream(request, response, 's1');
  response.end(eventsOf(1, 3));
};

test('forwards a close-delimited stream in chunks, so that its end is not that of the connection', async () => {
  await withRelay({ targets: [{ id: 't1', listener: closeDelimited }] }, async ({ url }) => {
    const answer = await call(url);
    assert.is(answer.text, eventsOf(1, 3));
    assert.is(answer.headers['transfer-encoding'], 'chunked');
    assert.ok(answer.isComplete);
  });
});

/** Calls with HTTP/1.0, which has no chunks. */
const callWithoutChunks = (url: string) =>
  new Promise<{ head: string; text: string; wasReset: boolean }>((resolve) => {
    const { hostname, port } = new URL(url);
    const socket = net.connect(Number(port), hostname);
    let received = '';
    let wasReset = false;
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString();
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      wasReset = code === 'ECONNRESET';
    });
    socket.on('close', () => {
      const headEnd = received.indexOf('\r\n\r\n');
      resolve({ head: received.slice(0, headEnd), text: received.slice(headEnd + 4), wasReset });
    });
    const headers = { 'x-id': 'r1', 'x-key': testKey, 'x-model': testModel, 'content-length': '2' };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`POST /drafts/1 HTTP/1.0\r\nhost: a\r\n${lines.join('')}\r\n{}`);
  });

test('ends a stream of an HTTP/1.0 caller with the connection, which is reset if the stream is cut off', async () => {
  const chunked = createStreamTarget(3, 's1');
  for (const listener of [chunked, closeDelimited]) {
    await withRelay({ targets: [{ id: 't1', listener }] }, async ({ url }) => {
      const { head, text, wasReset } = await callWithoutChunks(url);
      assert.not.match(head, /transfer-encoding/i);
      assert.equal([text, wasReset], [eventsOf(1, 3), false]);
    });
  }
  const torn: http.RequestListener = (request, response) => {
    beginStream(request, response, 's1');
    response.write(eventsOf(1, 2));
    setTimeout(() => response.destroy(), 30);
  };
  await withRelay({ targets: [{ id: 't1', listener: torn }] }, async ({ url }) => {
    const { text, wasReset } = await callWithoutChunks(url);
    assert.equal([text, wasReset], [eventsOf(1, 2), true]);
  });
});

const resumeCloseDelimited = async (eventsFrom: (request: http.IncomingMessage) => string) => {
  const torn: http.RequestListener = (request, response) => {
    beginStream(request, response, 's1');
    response.write(eventsOf(1, 2));
    setTimeout(() => response.destroy(), 30);
  };
  const continuing: http.RequestListener = (request, response) => {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    beginStream(request, response, 's2');
    response.end(eventsFrom(request));
  };
  const targets = [
    { id: 't1', listener: torn },
    { id: 't2', listener: continuing },
  ];
  let answer: CallerResponse | undefined;
  await withRelay({ targets }, async ({ url }) => {
    answer = await call(url);
  });
  return answer!;
};

test('cuts off a chunked stream that a close-delimited run does not continue', async () => {
  const { text, isComplete } = await resumeCloseDelimited(() => eventsOf(1, 3));
  assert.equal([text, isComplete], [eventsOf(1, 2), false]);
});

test('completes a chunked stream that a close-delimited run continues to its end', async () => {
  const { text, isComplete } = await resumeCloseDelimited((request) =>
    eventsOf(resumeIdOf(request) + 1, 4),
  );
  assert.equal([text, isComplete], [eventsOf(1, 4), true]);
});

test('never forwards the response to another request', async () => {
  const late: http.RequestListener = (request, response) => {
    request.resume();
    response.writeHead(200, { 'x-id': 'another' });
    response.end(eventsOf(1, 3));
  };
  await withRelay({ targets: [{ id: 't1', listener: late }] }, async ({ url }) => {
    const answer = await call(url);
    assert.is(answer.status, 502, 'the request may have run');
    assert.not.match(answer.text, 'token');
  });
});

test('responds with 503 only when every target confirmed that the request did not run', async () => {
  const full: http.RequestListener = (request, response) => {
    request.resume();
    response.writeHead(503, { 'x-not-run': '1' }).end();
  };
  await withRelay({ targets: [{ id: 't1', listener: full }] }, async ({ url }) => {
    const answer = await call(url);
    assert.is(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
  });
  const failing: http.RequestListener = (request, response) => {
    request.resume();
    response.writeHead(503, { 'x-id': 'r1' }).end();
  };
  const targets = [
    { id: 't1', listener: full },
    { id: 't2', listener: failing },
  ];
  await withRelay({ targets }, async ({ url }) => {
    assert.is((await call(url)).status, 502);
  });
});

test('refuses a request immediately when no group has a free slot', async () => {
  const target = createRecordingTarget(createStreamTarget(2, 's1'));
  const options = {
    targets: [{ id: 't1', listener: target.listener }],
    slots: 4,
    otherLoads: () => ({ 't1@1': 6 }),
  };
  await withRelay(options, async ({ url }) => {
    const startedAtMs = performance.now();
    const answer = await call(url);
    assert.is(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.ok(performance.now() - startedAtMs < 150);
    assert.is(target.seen.length, 0);
  });
});

test('closes the connection to the target soon after the caller disconnects', async () => {
  let closed: Promise<void> | undefined;
  const endless: http.RequestListener = (request, response) => {
    beginStream(request, response, 's1');
    let id = 0;
    const timer = setInterval(() => {
      id += 1;
      response.write(eventOf(id));
    }, 20);
    closed = new Promise((resolve) => {
      response.once('close', () => {
        clearInterval(timer);
        resolve();
      });
    });
  };
  await withRelay({ targets: [{ id: 't1', listener: endless }] }, async ({ url }) => {
    await call(url, { disconnectAfterMs: 150 });
    const startedAtMs = performance.now();
    await closed;
    assert.ok(performance.now() - startedAtMs < 500);
  });
});

test('responds with 504 at the timeout of the route', async () => {
  const silent: http.RequestListener = (request) => {
    request.resume();
  };
  const options = { targets: [{ id: 't1', listener: silent }], route: { timeoutMs: 300 } };
  await withRelay(options, async ({ url }) => {
    const startedAtMs = performance.now();
    const answer = await call(url, { headers: { 'x-limit-ms': '5000' } });
    assert.is(answer.status, 504);
    assert.ok(performance.now() - startedAtMs < 600);
  });
});

test('responds with 504 when the timer of the time limit fires before the clock reaches it', async () => {
  const silent: http.RequestListener = (request) => {
    request.resume();
  };
  const clock = { wallMs: Date.now, monotonicMs: () => performance.now() * 0.98 };
  const routes = [{ isResumable: false }, { maxTargets: 1 }, { kind: 'non-idempotent' }] as const;
  for (const route of routes) {
    const targets = [{ id: 't1', listener: silent }];
    await withRelay({ targets, clock, route: { ...route, timeoutMs: 300 } }, async ({ url }) =>
      assert.is((await call(url)).status, 504, JSON.stringify(route)),
    );
  }
});

test('forwards the remaining time and the customer name, but not the key', async () => {
  const target = createRecordingTarget(createStreamTarget(1, 's1'));
  await withRelay({ targets: [{ id: 't1', listener: target.listener }] }, async ({ url }) => {
    await call(url, { headers: { 'x-limit-ms': '2000' } });
    const { headers } = target.seen[0]!;
    assert.ok(Number(headers['x-left-ms']) <= 2_000);
    assert.ok(Number(headers['x-left-ms']) > 1_500);
    assert.is(headers['x-customer'], 'court');
    assert.is(headers['x-key'], undefined);
  });
});

test('responds with 504 at the timeout, every time, to a stream that may run once', async () => {
  const silent: http.RequestListener = (request) => {
    request.resume();
  };
  const options = {
    targets: [{ id: 't1', listener: silent }],
    route: { timeoutMs: 300, isResumable: false },
    slots: 1_000,
  };
  await withRelay(options, async ({ url }) => {
    const answers = await Promise.all(
      Array.from({ length: 120 }, async (_, index) => {
        await delay(index * 3.3);
        return (await call(url, { headers: { 'x-id': `r${index}` } })).status;
      }),
    );
    assert.equal(new Set(answers), new Set([504]));
  });
});

test('sends a stream that must not be repeated on a new connection', async () => {
  const used = new WeakSet<object>();
  const closing: http.RequestListener = (request, response) => {
    // A target may close an idle connection just as the next request arrives.
    if (used.has(request.socket)) {
      request.socket.destroy();
      return;
    }
    used.add(request.socket);
    createStreamTarget(2, 's1')(request, response);
  };
  const options = { targets: [{ id: 't1', listener: closing }], route: { isResumable: false } };
  await withRelay(options, async ({ url }) => {
    assert.is((await call(url)).status, 200);
    await delay(30);
    assert.is((await call(url, { headers: { 'x-id': 'r2' } })).status, 200);
  });
});

test.run();
