import { once } from 'node:events';
import type * as http from 'node:http';
import * as net from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { testKey, testModel, type TestRelayOptions } from './testing/createTestRelay';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('graceful shutdown');

/** Time from the beginning of a planned stop in which the relay of a test closes its connections. */
const graceMs = 1_300;
const pieceIntervalMs = 100;

const routes = [
  { kind: 'idempotent', maxTargets: 1 },
  { kind: 'non-idempotent', maxTargets: 1 },
  { kind: 'stream', maxTargets: 1 },
] as const;

test('answers a request that comes some time after its connection was accepted', async () => {
  const listener: http.RequestListener = (request, response) => {
    request.resume();
    response
      .writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's' })
      .end('served');
  };
  const targets = [{ id: 't1', listener }];
  // The request is certain to end in the time to drain.
  const route = { kind: 'idempotent', maxTargets: 1, timeoutMs: 300 } as const;
  await withRelay({ targets, route }, async ({ url, relay }) => {
    const { hostname, port } = new URL(url);
    const socket = net.connect(Number(port), hostname);
    await once(socket, 'connect');
    const stopped = relay.component.stop?.();
    await delay(300);
    socket.write(`GET /drafts/1 HTTP/1.1\r\nhost: x\r\nx-id: r1\r\nx-key: ${testKey}\r\n\r\n`);
    const [chunk] = (await Promise.race([once(socket, 'data'), once(socket, 'close')])) as [
      unknown,
    ];
    assert.match(String(chunk), 'HTTP/1.1 200');
    socket.destroy();
    await stopped;
  });
});

const readHead = async (socket: net.Socket): Promise<string> => {
  const [chunk] = (await Promise.race([once(socket, 'data'), once(socket, 'close')])) as [unknown];
  return String(chunk);
};

const connect = async (url: string): Promise<net.Socket> => {
  const { hostname, port } = new URL(url);
  const socket = net.connect(Number(port), hostname);
  await once(socket, 'connect');
  return socket;
};

const requestLines = (id: string) =>
  `GET /drafts/1 HTTP/1.1\r\nhost: x\r\nx-id: ${id}\r\nx-key: ${testKey}\r\nx-model: ${testModel}\r\n\r\n`;

routes.forEach((route) =>
  test(`answers a request of kind ${route.kind} that has not ended in time with an unknown outcome`, async () => {
    let runCount = 0;
    const listener = () => {
      runCount += 1;
    };
    await withRelay({ targets: [{ id: 't1', listener }], route }, async ({ url, relay }) => {
      const socket = await connect(url);
      const answered = readHead(socket);
      socket.write(requestLines('r1'));
      await delay(100);
      await relay.component.stop?.();
      const head = await answered;
      assert.match(head, 'HTTP/1.1 502');
      assert.match(head, '"cause":"shutting-down","ran":"unknown"');
      assert.is(runCount, 1);
    });
  }),
);

test('cuts a stream that has begun and not ended in time, so that it does not look complete', async () => {
  const listener: http.RequestListener = (request, response) => {
    const id = String(request.headers['x-id']);
    response.writeHead(200, { 'x-id': id, 'x-stamp': 's', 'content-type': 'text/event-stream' });
    response.write('id: 1\ndata: a\n\n');
  };
  await withRelay({ targets: [{ id: 't1', listener }] }, async ({ url, relay, suspected }) => {
    const socket = await connect(url);
    let text = '';
    socket.on('data', (chunk) => {
      text += String(chunk);
    });
    const closed = once(socket, 'close');
    socket.write(requestLines('r1'));
    await delay(100);
    await relay.component.stop?.();
    await closed;
    assert.match(text, 'id: 1\n');
    assert.not.match(text, '\r\n0\r\n');
    assert.equal(suspected, [], 'nothing speaks against the target');
  });
});

routes.forEach(({ kind, maxTargets }) =>
  test(`takes no request of kind ${kind} after the notice that may not end in time`, async () => {
    let runCount = 0;
    const listener: http.RequestListener = (request, response) => {
      runCount += 1;
      response.writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's' }).end();
    };
    const route = { kind, maxTargets, timeoutMs: 3_000 };
    await withRelay({ targets: [{ id: 't1', listener }], route }, async ({ url, relay }) => {
      const socket = await connect(url);
      const stopped = relay.component.stop?.();
      await delay(200);
      socket.write(requestLines('r1'));
      const head = await readHead(socket);
      assert.match(head, 'HTTP/1.1 503');
      assert.match(head.toLowerCase(), 'retry-after: 0.05');
      assert.match(head.toLowerCase(), 'connection: close');
      assert.is(runCount, 0);
      await stopped;
    });
  }),
);

const postLines = `POST /drafts/1 HTTP/1.1\r\nhost: x\r\nx-id: r1\r\nx-key: ${testKey}\r\n`;

test('takes no request whose body ends after the notice and which may not end in time', async () => {
  let runCount = 0;
  const listener: http.RequestListener = (request, response) => {
    runCount += 1;
    response.writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-stamp': 's' }).end();
  };
  const route = { kind: 'idempotent', maxTargets: 1, timeoutMs: 3_000 } as const;
  await withRelay({ targets: [{ id: 't1', listener }], route }, async ({ url, relay }) => {
    const socket = await connect(url);
    const answered = readHead(socket);
    socket.write(`${postLines}content-length: 2\r\n\r\n`);
    await delay(50);
    const stopped = relay.component.stop?.();
    await delay(200);
    socket.write('{}');
    const head = await answered;
    assert.match(head, 'HTTP/1.1 503');
    assert.match(head, '"cause":"shutting-down","ran":"not-run"');
    assert.is(runCount, 0);
    await stopped;
  });
});

/** Returns the start of the response to a request that is sent just before the stop and still waits at its end. */
const readHeadAtEnd = async (
  options: Pick<TestRelayOptions, 'planAgeMs' | 'planRead'>,
  lines: string,
  sendMore: (socket: net.Socket) => void = () => {},
): Promise<string> => {
  let head = '';
  const targets = [{ id: 't1', listener: () => assert.unreachable('the request ran') }];
  const route = { kind: 'idempotent', maxTargets: 1 } as const;
  await withRelay({ targets, route, ...options }, async ({ url, relay }) => {
    const socket = await connect(url);
    socket.on('error', () => {});
    const answered = readHead(socket);
    socket.write(lines);
    const timer = setInterval(() => sendMore(socket), pieceIntervalMs);
    await delay(100);
    await relay.component.stop?.();
    head = await answered;
    clearInterval(timer);
  });
  return head;
};

const neverRead = new Promise<void>(() => {});

const waitingRequests = {
  'that waits for a confirmation of the plan': () =>
    readHeadAtEnd({ planAgeMs: () => 5_000, planRead: neverRead }, requestLines('r1')),
  'whose body is too large and waits for a confirmation of the limit': () =>
    readHeadAtEnd(
      { planAgeMs: () => 3_000, planRead: neverRead },
      `${postLines}content-length: 2048\r\n\r\n`,
    ),
  'whose body of a known length is still arriving': () =>
    readHeadAtEnd({}, `${postLines}content-length: 1000\r\n\r\n`, (socket) => socket.write('.')),
  'whose body is still arriving in chunks': () =>
    readHeadAtEnd({}, `${postLines}transfer-encoding: chunked\r\n\r\n`, (socket) =>
      socket.write('1\r\n.\r\n'),
    ),
};

Object.entries(waitingRequests).forEach(([description, readWaiting]) =>
  test(`answers a request ${description} at the end of the stop as not run`, async () => {
    const head = await readWaiting();
    assert.match(head, 'HTTP/1.1 503');
    assert.match(head, '"cause":"shutting-down","ran":"not-run"');
    assert.match(head.toLowerCase(), 'connection: close');
  }),
);

test('stops in time though other parts of the daemon have taken a part of the grace period to stop', async () => {
  const route = { kind: 'idempotent', maxTargets: 1 } as const;
  await withRelay(
    { targets: [{ id: 't1', listener: () => {} }], route },
    async ({ url, relay }) => {
      const socket = await connect(url);
      const answered = readHead(socket);
      socket.write(requestLines('r1'));
      await delay(100);
      const startedAtMs = performance.now();
      relay.drain();
      await delay(600);
      await relay.component.stop?.();
      const tookMs = performance.now() - startedAtMs;
      assert.ok(tookMs < graceMs, `${tookMs} ms`);
      assert.match(await answered, 'HTTP/1.1 502');
    },
  );
});

test.run();
