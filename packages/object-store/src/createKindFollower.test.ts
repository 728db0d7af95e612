import * as clocks from '@comfreydrum/clock';
import * as testing from '@comfreydrum/testing';
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

// Guards against changes of a store that came back from an older copy, taken for those of the one before.
test('lists again when a watch is answered in another era, and does not apply its changes', async () => {
  const { calls, seen } = await runFollower(
    { list: [object('a', 30)], version: 30, era: 1 },
    { watch: { version: 31, era: 2, changed: [object('b', 31)] } },
    { list: [object('c', 9)], version: 9, era: 2 },
    { watch: { version: 10, era: 2, changed: [object('d', 10)] } },
    { watch: { version: 11, changed: [object('e', 11)] } },
  );
  assert.equal(calls, ['list k', 'watch k 30', 'list k', 'watch k 9', 'watch k 10', 'watch k 11']);
  assert.equal(seen, [
    'all a',
    'current',
    'failed expired',
    'all c',
    'current',
    'changed d gone ',
    'current',
    'changed e gone ',
    'current',
  ]);
});

// Guards against a follower that waits for good for a watch which its client never ends.
test('gives up a watch that long outlasts its wait, and watches on from the same version', async () => {
  const client = createScriptedClient({ list: [], version: 5 });
  const failures: string[] = [];
  const changes: string[] = [];
  const abort = new AbortController();
  const follower = objectStore.createKindFollower({
    client,
    clock: clocks.createSystemClock(),
    kind: 'k',
    watchTimeoutMs: () => 10,
    minIntervalMs: () => 0,
    maxRetryMs: 2,
    random: () => 0.5,
    onSnapshot: () => {},
    onChange: ({ changed }) => changes.push(...changed.map(({ name }) => name)),
    onSynced: () => {},
    onFailure: ({ kind, message }) => failures.push(`${kind}: ${message}`),
  });
  void follower.run(abort.signal);
  await testing.waitUntil(() => client.calls.length === 3, 3_000, 'a second watch');
  assert.equal(client.calls, ['list k', 'watch k 5', 'watch k 5']);
  assert.is(failures.length, 1);
  assert.match(failures[0]!, /^unreachable: the watch of k had not ended/);
  client.add({ watch: { version: 6, changed: [object('late', 6)] } });
  client.add({ watch: { version: 7, changed: [object('a', 7)] } });
  await testing.waitUntil(() => client.calls.length === 4, 1_000, 'the next watch');
  assert.equal(changes, ['a'], 'the answer to the watch that was given up is ignored');
  abort.abort();
});

test.run();
