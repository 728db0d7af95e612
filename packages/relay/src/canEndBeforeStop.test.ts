import type * as fleet from '@comfreydrum/fleet';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { canEndBeforeStop } from './canEndBeforeStop';
import { createDurationEstimates } from './createDurationEstimates';

const test = uvu.suite('requests during a planned stop');

const latencyTargetMs = 300;
const timeLimitMs = 5_000;

const createRoute = (kind: fleet.RouteKind, isResumable = false) =>
  ({ name: kind, kind, isResumable, latencyTargetMs }) as fleet.Route;

/** The kinds of requests that are taken when so much time remains and they have taken `durationMs` lately. */
const takenKinds = (isNoticeOver: boolean, remainingMs: number, durationMs: number | undefined) => {
  const durations = createDurationEstimates();
  const drain = { remainingMs: () => remainingMs, wasNoticeOver: () => isNoticeOver };
  const routes = {
    idempotent: createRoute('idempotent'),
    once: createRoute('non-idempotent'),
    stream: createRoute('stream', true),
    'once-stream': createRoute('stream'),
  };
  if (durationMs !== undefined) {
    Object.values(routes).forEach(({ name }) =>
      Array.from({ length: 50 }, () => durations.record(name, durationMs)),
    );
  }
  return Object.entries(routes)
    .filter(([, route]) =>
      canEndBeforeStop({ drain, durations }, { route, receivedAtMs: 0, timeLimitMs }),
    )
    .map(([name]) => name);
};

const all = ['idempotent', 'once', 'stream', 'once-stream'];

test('are all taken while the daemon does not stop', () => {
  assert.equal(takenKinds(false, Infinity, 60_000), all);
});

test('are taken in the notice period unless they usually take too long', () => {
  assert.equal(takenKinds(false, 4_600, 1_000), all);
  assert.equal(takenKinds(false, 4_600, undefined), all);
  assert.equal(takenKinds(false, 4_600, 4_700), []);
});

test('are not taken after it where they usually end in time but their time limit ends later', () => {
  assert.equal(takenKinds(true, 2_000, 1_000), []);
  assert.equal(takenKinds(true, 2_000, undefined), []);
  assert.equal(takenKinds(true, timeLimitMs - 1, 10), []);
});

test('are taken whatever they are where their time limit ends before', () => {
  assert.equal(takenKinds(true, timeLimitMs, 60_000), all);
});

test('are expected to take as long as nearly all before, and soon as long as the latest', () => {
  const durations = createDurationEstimates();
  assert.is(durations.upperMs('r'), undefined);
  for (let count = 0; count < 400; count += 1) durations.record('r', count % 2 === 0 ? 100 : 200);
  const steadyMs = durations.upperMs('r')!;
  assert.ok(steadyMs > 200 && steadyMs < 450, `${steadyMs}`);
  for (let count = 0; count < 20; count += 1) durations.record('r', 4_500);
  assert.ok(durations.upperMs('r')! > 4_000);
});

test.run();
