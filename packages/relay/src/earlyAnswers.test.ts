import type * as http from 'node:http';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from './testing/callers';
import { eventsOf, resumeIdOf } from './testing/streams';
import { withRelay } from './testing/withRelay';

const test = uvu.suite('answers without a length to requests that are still being written');

/** More than the socket buffers of relay and target hold. */
const uploadBytes = 8_000_000;
const upload = 'u'.repeat(uploadBytes);
const rounds = 5;
/** Pauses of the target before it resets the connection; with none, the reset follows the last bytes at once. */
const resetDelaysMs = [undefined, 0, 1];

/** Answers as soon as the head of a request has come, and resets the connection while the body is still arriving. */
const resetEarly =
  (bodyOf: (request: http.IncomingMessage) => string): http.RequestListener =>
  (request) => {
    const requestId = String(request.headers['x-id']);
    const delayMs = resetDelaysMs[Number(requestId.slice(1)) % resetDelaysMs.length];
    const { socket } = request;
    socket.write(
      `HTTP/1.1 200 OK\r\nx-id: ${requestId}\r\nx-stamp: s\r\ncontent-type: text/event-stream\r\n\r\n${bodyOf(request)}`,
    );
    if (delayMs === undefined) socket.resetAndDestroy();
    else setTimeout(() => socket.resetAndDestroy(), delayMs);
  };

/** Two events, from the position that a resumed stream asks for. */
const nextEvents = (request: http.IncomingMessage) => {
  const lastEventId = resumeIdOf(request);
  return eventsOf(lastEventId + 1, lastEventId + 2);
};

const routes = [
  { kind: 'non-idempotent', maxTargets: 1 },
  { kind: 'idempotent', maxTargets: 2 },
  { kind: 'stream', maxTargets: 1, isResumable: false },
  { kind: 'stream', maxTargets: 2 },
] as const;

routes.forEach((route) =>
  test(`are not complete for callers when they are reset: ${route.kind}, ${route.maxTargets} targets`, async () => {
    const targets = ['t1', 't2'].map((id) => ({ id, listener: resetEarly(nextEvents) }));
    const options = {
      targets,
      route,
      slots: 100,
      maxBodyBytes: uploadBytes,
      fleetRetryReserve: 1_000,
    };
    await withRelay(options, async ({ url }) => {
      const complete: string[] = [];
      for (let index = 0; index < rounds * resetDelaysMs.length; index += 1) {
        const { status, text, isComplete } = await call(url, {
          headers: { 'x-id': `r${index}` },
          body: upload,
        });
        if (status < 300 && isComplete) complete.push(`r${index}: ${status} ${text}`);
      }
      assert.equal(complete, []);
    });
  }),
);

test('are not complete for callers when they reset a request that was handed to another daemon', async () => {
  const network = testing.createFakeNetwork();
  const options = {
    network,
    route: { kind: 'non-idempotent', maxTargets: 1 },
    slots: 100,
    maxBodyBytes: uploadBytes,
  } as const;
  const helperOptions = {
    ...options,
    name: 'helper',
    targets: [{ id: 'h1', listener: resetEarly(() => 'half of the') }],
  };
  const cutOptions = {
    ...options,
    name: 'cut',
    peerAddresses: () => ['helper'],
    targets: [{ id: 't1', listener: resetEarly(() => 'half of the') }],
  };
  await withRelay(helperOptions, () =>
    withRelay(cutOptions, async (cut) => {
      cut.endTarget('t1');
      const { status } = await call(cut.url, { headers: { 'x-id': 'r0' }, body: upload });
      assert.is(status, 502);
    }),
  );
});

test.run();
