import * as errors from '@comfreydrum/errors';
import type * as objectStore from '@comfreydrum/object-store';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createFreshnessProof } from './createFreshnessProof';
import { createPlatformWatch } from './createPlatformWatch';
import { memberOf } from './testing/memberOf';

const windowMs = 6_000;
const runMs = 60_000;
const test = uvu.suite('platform sync');

/** Runs the sync for a minute of virtual time and returns the calls made to the platform. */
const follow = async (selfId: string, oldestVersion = 0) => {
  const asked: string[] = [];
  const abort = new AbortController();
  let nowMs = 0;
  const proof = createFreshnessProof(0, windowMs);
  const pass = async (durationMs: number) => {
    nowMs += durationMs;
    if (nowMs >= runMs) abort.abort();
  };
  const client = {
    list: async () => {
      asked.push('list');
      return errors.ok({ version: 7, objects: [] });
    },
    watch: async (_: string, since: number, timeoutMs: number) => {
      asked.push(`changes since ${since} within ${timeoutMs}`);
      await pass(timeoutMs);
      return since < oldestVersion
        ? errors.err({ kind: 'expired', step: 'watch', peer: 'platform', message: 'expired' })
        : errors.ok({ version: 9, changed: [], deletedNames: [] });
    },
  } as unknown as objectStore.PlatformClient;
  const watch = createPlatformWatch({
    client,
    membership: {
      self: () => memberOf(selfId),
      members: () => ['a', 'b', 'c'].map(memberOf),
      onChange: () => () => {},
      leave: () => {},
    },
    clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
    proof,
    windowMs,
    hash: (text) => text,
    random: () => 0.5,
    sleep: pass,
    onRevisions: () => {},
    onUnreadable: () => {},
  });
  await watch.run(abort.signal);
  return { asked, proof, nowMs };
};

test('a watcher lists once and then waits for changes', async () => {
  const { asked } = await follow('a');
  assert.equal(asked.slice(0, 3), [
    'list',
    'changes since 7 within 1200',
    'changes since 9 within 1200',
  ]);
  assert.is(asked.filter((call) => call === 'list').length, 1);
});

test('other daemons list once and then poll for changes when their confirmation is old', async () => {
  const { asked, proof, nowMs } = await follow('c');
  assert.equal(asked.slice(0, 3), ['list', 'changes since 7 within 0', 'changes since 9 within 0']);
  assert.is(asked.filter((call) => call === 'list').length, 1);
  assert.ok(asked.length <= runMs / (windowMs / 2) + 1, `asked ${asked.length} times`);
  assert.is(proof.freshness(nowMs).kind, 'fresh');
});

test('lists again when the platform no longer has the history since the version', async () => {
  const { asked } = await follow('c', 8);
  assert.equal(asked.slice(0, 4), [
    'list',
    'changes since 7 within 0',
    'list',
    'changes since 7 within 0',
  ]);
});

test('a watch continues from the version of the latest confirmation', () => {
  const proof = createFreshnessProof(0, windowMs);
  proof.provePlatform({ atMs: 5, version: 9 });
  proof.provePlatform({ atMs: 4, version: 12 });
  assert.equal(proof.platform(), { atMs: 5, version: 9 });
  // A platform that was restored from an old copy continues from a lower version.
  proof.provePlatform({ atMs: 6, version: 3 });
  assert.equal(proof.platform(), { atMs: 6, version: 3 });
});

test.run();
