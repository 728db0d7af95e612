import * as clocks from '@comfreydrum/clock';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as objectStore from './index';
import { createScriptedClient, type ScriptedResponse } from './testing/createScriptedClient';

const test = uvu.suite('kind follower');

const object = (name: string, version: number): objectStore.StoredObject => ({
  kind: 'k',
  name,
  version,
  value: version,
});

/** Runs a follower to the end of a script; returns the calls it made and the callbacks it invoked. */
const runFollower = async (...script: readonly ScriptedResponse[]) => {
  const client = createScriptedClient(...script);
  const seen: string[] = [];
  const abort = new AbortController();
  const follower = objectStore.createKindFollower({
    client,
    clock: clocks.createSystemClock(),
    kind: 'k',
    watchTimeoutMs: () => 10,
    minIntervalMs: () => 0,
    maxRetryMs: 2,
    random: () => 0.5,
    onSnapshot: (objects) => seen.push(`all ${objects.map(({ name }) => name).join()}`),
    onChange: ({ changed, deletedNames }) =>
      seen.push(`changed ${changed.map(({ name }) => name).join()} gone ${deletedNames.join()}`),
    onSynced: () => seen.push('current'),
    onFailure: ({ kind }) => seen.push(`failed ${kind}`),
  });
  void follower.run(abort.signal);
  while (client.calls.length <= script.length) {
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
  abort.abort();
  return { calls: client.calls, seen };
};

test('lists, then watches from the latest version', async () => {
  const { calls, seen } = await runFollower(
    { list: [object('a', 3)], version: 5 },
    { watch: { version: 7, changed: [object('b', 7)] } },
    { watch: { version: 8, deletedNames: ['a'] } },
  );
  assert.equal(calls, ['list k', 'watch k 5', 'watch k 7', 'watch k 8']);
  assert.equal(seen, [
    'all a',
    'current',
    'changed b gone ',
    'current',
    'changed  gone a',
    'current',
  ]);
});

test('lists again when the history has expired, and does not report a failed call as current', async () => {
  const { calls, seen } = await runFollower(
    { list: [], version: 5 },
    { fail: 'unreachable' },
    { fail: 'expired' },
    { list: [object('c', 9)], version: 9 },
  );
  assert.equal(calls, ['list k', 'watch k 5', 'watch k 5', 'list k', 'watch k 9']);
  assert.equal(seen, [
    'all ',
    'current',
    'failed unreachable',
    'failed expired',
    'all c',
    'current',
  ]);
});

test.run();
