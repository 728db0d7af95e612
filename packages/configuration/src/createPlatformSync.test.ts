import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createFreshnessTracker } from './createFreshnessTracker';
import { createPlatformSync } from './createPlatformSync';
import { createMember } from './testing/createMember';

const windowMs = 6_000;
const simulatedMs = 60_000;
const test = uvu.suite('platform sync');

/** Runs the sync for a minute of virtual time and returns the calls made to the platform. */
const runSync = async (selfId: string, oldestVersion = 0) => {
  const calls: string[] = [];
  const abort = new AbortController();
  let nowMs = 0;
  const freshnessTracker = createFreshnessTracker(0, windowMs);
  const advance = async (durationMs: number) => {
    nowMs += durationMs;
    if (nowMs >= simulatedMs) abort.abort();
  };
  const client = {
    list: async () => {
      calls.push('list');
      return errors.ok({ version: 7, objects: [] });
    },
    watch: async (_: string, since: number, timeoutMs: number) => {
      calls.push(`changes since ${since} within ${timeoutMs}`);
      await advance(timeoutMs);
      return since < oldestVersion
        ? errors.err({ kind: 'expired', step: 'watch', peer: 'platform', message: 'expired' })
        : errors.ok({ version: 9, changed: [], deletedNames: [] });
    },
  } as unknown as objectStore.PlatformClient;
  const sync = createPlatformSync({
    client,
    membership: {
      self: () => createMember(selfId),
      members: () => ['a', 'b', 'c'].map(createMember),
      onChange: () => () => {},
      leave: () => {},
    },
    clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
    freshnessTracker,
    windowMs,
    hash: (text) => text,
    random: () => 0.5,
    sleep: advance,
    onRevisions: () => {},
    onInvalidObject: () => {},
  });
  await sync.run(abort.signal);
  return { calls, freshnessTracker, nowMs };
};

test('an instance selected as watcher of its region lists once and then watches for changes', async () => {
  const { calls } = await runSync('a');
  assert.equal(calls.slice(0, 3), [
    'list',
    'changes since 7 within 1200',
    'changes since 9 within 1200',
  ]);
  assert.is(calls.filter((call) => call === 'list').length, 1);
});

test('other instances list once and then poll for changes when their latest confirmation is old', async () => {
  const { calls, freshnessTracker, nowMs } = await runSync('c');
  assert.equal(calls.slice(0, 3), ['list', 'changes since 7 within 0', 'changes since 9 within 0']);
  assert.is(calls.filter((call) => call === 'list').length, 1);
  assert.ok(
    calls.length <= simulatedMs / (windowMs / 2) + 1,
    `${calls.length} calls to the platform`,
  );
  assert.is(freshnessTracker.freshness(nowMs).kind, 'fresh');
});

test('lists again when the platform no longer keeps the changes since the last known version', async () => {
  const { calls } = await runSync('c', 8);
  assert.equal(calls.slice(0, 4), [
    'list',
    'changes since 7 within 0',
    'list',
    'changes since 7 within 0',
  ]);
});

test('the freshness tracker keeps the confirmation with the latest time, even if its version is lower', () => {
  const freshnessTracker = createFreshnessTracker(0, windowMs);
  freshnessTracker.confirmByPlatform({ atMs: 5, version: 9 });
  freshnessTracker.confirmByPlatform({ atMs: 4, version: 12 });
  assert.equal(freshnessTracker.platformConfirmation(), { atMs: 5, version: 9 });
  // A platform that was restored from a backup continues from a lower version.
  freshnessTracker.confirmByPlatform({ atMs: 6, version: 3 });
  assert.equal(freshnessTracker.platformConfirmation(), { atMs: 6, version: 3 });
});

test.run();
