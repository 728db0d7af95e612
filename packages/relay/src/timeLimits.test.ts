import * as v8 from 'node:v8';
import type * as http from 'node:http';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { call } from './testing/callers';
import { withRelay } from './testing/withRelay';

// Unoptimized code keeps values reachable that optimized code, as in a busy daemon, no longer does.
v8.setFlagsFromString('--always-turbofan');

const test = uvu.suite('time limits');

const limitMs = 400;
const disconnectAfterMs = 2_000;

const isWarmUp = (request: http.IncomingMessage) => request.headers['x-id'] === 'warm-up';

/** Answers the request that warms up the code, and leaves all others unanswered. */
const listener: http.RequestListener = (request, response) => {
  request.resume();
  if (isWarmUp(request)) response.writeHead(200, { 'x-id': 'warm-up', 'x-stamp': 's' }).end();
};

// Guards against requests that never get a final answer, as a collection removed their time-out.
for (const [kind, route] of [
  ['filing', { kind: 'non-idempotent', maxTargets: 1 }],
  ['lookup', { kind: 'idempotent', maxTargets: 1 }],
  ['stream', { isResumable: false }],
] as const) {
  test(`answers a ${kind} with 504 at its time limit although garbage is collected before`, async () => {
    const targets = [{ id: 't1', listener }];
    await withRelay({ targets, route }, async ({ url }) => {
      await call(url, { headers: { 'x-id': 'warm-up' } });
      const headers = { 'x-limit-ms': String(limitMs) };
      const answer = call(url, { headers, disconnectAfterMs });
      await testing.collectGarbage();
      assert.is((await answer).status, 504);
    });
  });
}

test.run();
