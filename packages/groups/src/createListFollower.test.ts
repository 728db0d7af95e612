import * as clock from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type * as peers from '@comfreydrum/peers';
import type * as objectStore from '@comfreydrum/object-store';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createListFollower, listTickMs } from './createListFollower';

const test = uvu.suite('list follower');

const entryOf = (
  instanceId: string,
  state: objectStore.ListedInstance['state'] = 'live',
): objectStore.ListedInstance => ({
  instanceId,
  url: `http://${instanceId}`,
  targetKind: 'engine',
  region: 'navarra',
  failureDomain: 'a',
  fabricDomain: 'fabric-1',
  acceleratorCount: 4,
  state,
});

type Role = 'reader' | 'standby' | 'watcher' | 'other';

const rankOf = (role: Role) =>
  ({ reader: 0, standby: 1, watcher: undefined, other: undefined })[role];

const createFleet = (roles: readonly Role[]) => {
  const manual = clock.createManualClock(50_000);
  let list = [entryOf('engine-1'), entryOf('engine-2')];
  let isOut = false;
  let areMessagesLost = false;
  const listeners = new Map<string, (item: peers.BusMessage) => void>();
  const daemons = roles.map((role, index) => {
    const origin = `entry-${index}`;
    let listed: readonly objectStore.ListedInstance[] = [];
    let readCount = 0;
    const follower = createListFollower({
      clock: manual,
      messageBus: {
        publish: (topic, key, value, remainingMs) => {
          if (areMessagesLost) return;
          const item = { topic, key, origin, sequence: 1, value, remainingMs };
          listeners.forEach((listener, name) => name !== origin && listener(item));
        },
        onMessage: () => () => {},
        latest: () => [],
      },
      read: async () => {
        readCount += 1;
        if (isOut && role === 'reader') {
          return errors.err({
            kind: 'unreachable',
            step: 'list instances',
            peer: 'platform',
            message: 'out',
          });
        }
        return errors.ok(list);
      },
      listed: () => listed,
      setListed: (next) => {
        listed = next;
      },
      rank: () => rankOf(role),
      isWatcher: () => role === 'watcher',
      memberCount: () => 340,
      random: () => 0.5,
    });
    listeners.set(origin, follower.onMessage);
    return { follower, listed: () => listed, readCount: () => readCount };
  });
  const advance = async (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += listTickMs) {
      manual.advance(listTickMs);
      await Promise.all(daemons.map(({ follower }) => follower.tick()));
    }
  };
  return {
    daemons,
    manual,
    advance,
    setList: (next: objectStore.ListedInstance[]) => {
      list = next;
    },
    setReaderOutage: (out: boolean) => {
      isOut = out;
    },
    setMessagesLost: (lost: boolean) => {
      areMessagesLost = lost;
    },
  };
};

const idsOf = (list: readonly objectStore.ListedInstance[]) =>
  list.map(({ instanceId, state }) => `${instanceId} ${state}`).sort();

test('reads only on the reader while it publishes', async () => {
  const { daemons, advance } = createFleet(['reader', 'watcher', 'other']);
  await advance(60_000);
  assert.ok(daemons[0]!.readCount() >= 50);
  assert.is(daemons[1]!.readCount(), 1);
  assert.is(daemons[2]!.readCount(), 1);
});

test('publishes leaving, added and removed targets to all daemons within a second', async () => {
  const { daemons, advance, setList } = createFleet(['reader', 'watcher', 'other']);
  await advance(5_000);
  setList([entryOf('engine-1', 'leaving'), entryOf('engine-3')]);
  await advance(1_000);
  daemons.forEach(({ listed }) =>
    assert.equal(idsOf(listed()), ['engine-1 leaving', 'engine-3 live']),
  );
  assert.is(daemons[2]!.readCount(), 1);
});

test('makes watchers read the list soon after readers lose the platform', async () => {
  const { daemons, advance, setList, setReaderOutage } = createFleet([
    'reader',
    'watcher',
    'other',
  ]);
  await advance(5_000);
  setReaderOutage(true);
  setList([entryOf('engine-1', 'leaving'), entryOf('engine-2')]);
  await advance(1_500);
  assert.equal(idsOf(daemons[1]!.listed()), ['engine-1 leaving', 'engine-2 live']);
});

test('makes the standby read and publish while the reader cannot reach the platform', async () => {
  const { daemons, advance, setList, setReaderOutage } = createFleet([
    'reader',
    'standby',
    'other',
  ]);
  await advance(5_000);
  assert.is(daemons[1]!.readCount(), 1);
  setReaderOutage(true);
  setList([entryOf('engine-1', 'leaving'), entryOf('engine-2')]);
  await advance(1_300);
  assert.equal(idsOf(daemons[2]!.listed()), ['engine-1 leaving', 'engine-2 live']);
  assert.is(daemons[2]!.readCount(), 1);
  setReaderOutage(false);
  await advance(2_000);
  const readCount = daemons[1]!.readCount();
  await advance(10_000);
  assert.is(daemons[1]!.readCount(), readCount);
});

test('rereads when the digest of the reader keeps differing from the local list', async () => {
  const { daemons, advance, setList, setMessagesLost } = createFleet([
    'reader',
    'watcher',
    'other',
  ]);
  await advance(5_000);
  setMessagesLost(true);
  setList([entryOf('engine-2')]);
  await advance(1_000);
  setMessagesLost(false);
  await advance(1_500);
  assert.equal(idsOf(daemons[1]!.listed()), ['engine-2 live']);
  await advance(20_000);
  assert.equal(idsOf(daemons[2]!.listed()), ['engine-2 live']);
});

test('reads immediately after this process was paused', async () => {
  const { daemons, manual, advance } = createFleet(['reader', 'watcher']);
  await advance(5_000);
  manual.advance(3_000);
  await advance(listTickMs);
  assert.is(daemons[1]!.readCount(), 2);
});

test('keeps a target leaving when a later message calls it live', async () => {
  const { daemons, advance, setList } = createFleet(['reader', 'other']);
  await advance(5_000);
  setList([entryOf('engine-1', 'leaving'), entryOf('engine-2')]);
  await advance(1_000);
  setList([entryOf('engine-1'), entryOf('engine-2')]);
  await advance(1_000);
  assert.equal(idsOf(daemons[1]!.listed()), ['engine-1 leaving', 'engine-2 live']);
});

test.run();
