import * as clocks from '@comfreydrum/clock';
import * as errors from '@comfreydrum/errors';
import type * as fleet from '@comfreydrum/fleet';
import * as telemetry from '@comfreydrum/telemetry';
import * as testing from '@comfreydrum/testing';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createHeadCheck } from './createHeadCheck';
import { createLossDetector } from './createLossDetector';
import { reportOf } from './testing/reportOf';
import type { ProbeFailure, TargetOrders } from './TargetOrders';

const test = uvu.suite('detection of lost targets');

const log = telemetry.createLog({ level: 'silent', instanceId: 'test' });

const target = (id: string): fleet.GroupMember =>
  ({
    id,
    startedAtMs: 1,
    address: `${id}:1`,
    membership: { groupName: 'draft.1', epoch: 1, rank: 0, state: 'open' },
  }) as fleet.GroupMember;

const settle = () =>
  new Promise((resolve) => {
    setTimeout(resolve, 20);
  });

type Answer = 'lives' | 'silent' | 'refused' | 'other-run';

const createOrders = (answer: () => Answer): Pick<TargetOrders, 'probe'> => ({
  probe: async ({ id }) => {
    const kind = answer();
    if (kind === 'silent' || kind === 'refused') {
      return errors.err<ProbeFailure>({ kind, step: 'probe', peer: id, message: kind });
    }
    return errors.ok(reportOf(id, { startedAtMs: kind === 'lives' ? 1 : 2 }));
  },
});

/** Creates a detector that suspects one target, with a clock to move. */
const createCase = async (initialAnswer: Answer) => {
  let answer = initialAnswer;
  const clock = clocks.createManualClock(10_000);
  const orders = createOrders(() => answer);
  const detector = createLossDetector({ clock, log, orders, onChange: () => {} });
  const listed = new Map([['a', target('a')]]);
  detector.suspect([target('a')], false);
  await settle();
  return {
    read: () => [detector.isLost(target('a')), detector.isSurelyLost(target('a'))],
    setAnswer: (next: Answer) => {
      answer = next;
    },
    advance: async (byMs: number) => {
      for (let passedMs = 0; passedMs < byMs; passedMs += 100) {
        clock.advance(100);
        detector.tick(listed);
        await settle();
      }
    },
  };
};

test('does not take a target that is silent for a second for surely lost', async () => {
  const silent = await createCase('silent');
  assert.equal(silent.read(), [true, false]);
  await silent.advance(1_300);
  assert.equal(silent.read(), [true, false]);
  silent.setAnswer('lives');
  await silent.advance(500);
  assert.equal(silent.read(), [false, false]);
});

test('takes a target for surely lost that is silent for longer, or that has ended', async () => {
  const silent = await createCase('silent');
  await silent.advance(1_700);
  assert.equal(silent.read(), [true, true]);
  const ended = await createCase('refused');
  assert.equal(ended.read(), [true, true]);
});

const detect = async (answers: readonly Answer[], isKnownSilent = false) => {
  const left = [...answers];
  let askedCount = 0;
  const orders = createOrders(() => {
    askedCount += 1;
    return left.shift() ?? 'lives';
  });
  const clock = clocks.createManualClock(10_000);
  const detector = createLossDetector({ clock, log, orders, onChange: () => {} });
  detector.suspect([target('a')], isKnownSilent);
  await settle();
  return { isLost: detector.isLost(target('a')), askedCount };
};

test('considers a target lost after a refusal, two silent probes, or one if it was silent elsewhere', async () => {
  assert.equal(await detect(['silent', 'silent']), { isLost: true, askedCount: 2 });
  assert.equal(await detect(['silent', 'lives']), { isLost: false, askedCount: 2 });
  assert.equal(await detect(['refused']), { isLost: true, askedCount: 1 });
  assert.equal(await detect(['silent'], true), { isLost: true, askedCount: 1 });
  assert.equal(await detect(['lives'], true), { isLost: false, askedCount: 1 });
  assert.equal(await detect(['other-run']), { isLost: true, askedCount: 1 });
});

const group = {
  key: 'draft.1@1',
  name: 'draft.1',
  epoch: 1,
  modelName: 'draft',
  head: target('a'),
  members: [target('a')],
} as const;

/**
 * Checks a head again and again for a time, and once more after a pause, with the given probe results of this daemon and of
 * its peers. Returns whether the head is considered gone.
 */
const checkHead = async (own: Answer, others: readonly Answer[], durationMs = 0, pauseMs = 0) => {
  const network = testing.createFakeNetwork();
  const clock = clocks.createManualClock(10_000);
  const create = (address: string, answer: Answer, peers: readonly string[]) =>
    createHeadCheck({
      clock,
      log,
      orders: createOrders(() => answer),
      calls: network.join(address),
      random: () => 0.5,
      peerAddresses: () => peers,
      onReached: () => {},
      onChange: () => {},
    });
  const addresses = others.map((_, index) => `peer-${index}`);
  others.forEach((answer, index) => create(addresses[index]!, answer, []));
  const check = create('self', own, addresses);
  check.recordHeads([group]);
  const ask = async () => {
    check.isGone(group);
    await settle();
  };
  for (let passedMs = 0; passedMs <= durationMs; passedMs += 100) {
    await ask();
    clock.advance(100);
  }
  clock.advance(pauseMs);
  await ask();
  return check.isGone(group);
};

const longerThanSoundMs = 2_200;

test('considers a head gone only when no daemon reaches it for longer than a sound one is silent', async () => {
  assert.ok(await checkHead('silent', ['silent', 'refused'], longerThanSoundMs));
  assert.not(await checkHead('silent', ['silent', 'lives'], longerThanSoundMs));
  assert.not(await checkHead('lives', ['silent', 'silent'], longerThanSoundMs));
});

// Guards against serving groups that are broken up because their head missed one round of probes.
test('does not consider a head gone that is silent for a second', async () => {
  assert.not(await checkHead('silent', ['silent', 'silent']));
  assert.not(await checkHead('silent', ['silent', 'refused'], 1_000));
  assert.not(await checkHead('silent', ['silent', 'silent'], 0, 20_000));
});

test('considers a head gone at once whose process has ended', async () => {
  assert.ok(await checkHead('refused', ['refused', 'refused']));
  assert.ok(await checkHead('silent', ['silent', 'other-run']));
  assert.not(await checkHead('refused', ['refused', 'lives']));
});

// Guards against a daemon that is cut off from a serving head and takes the refusal for its end.
test('does not consider a head gone at once that refuses the only daemon', async () => {
  assert.not(await checkHead('refused', []));
  assert.ok(await checkHead('refused', [], longerThanSoundMs));
});

const createCheckWithoutPeers = (clock = clocks.createManualClock(10_000)) =>
  createHeadCheck({
    clock,
    log,
    orders: createOrders(() => 'silent'),
    calls: testing.createFakeNetwork().join('self'),
    random: () => 0.5,
    peerAddresses: () => [],
    onReached: () => {},
    onChange: () => {},
  });

// Guards against members that are taken from a serving group whose head has dropped out of the list.
test('does not consider a head gone, or left, because it was never listed', () => {
  const clock = clocks.createManualClock(10_000);
  const check = createCheckWithoutPeers(clock);
  check.recordHeads([group]);
  const unlisted = { ...group, key: 'draft.2@2', name: 'draft.2', epoch: 2, head: undefined };
  check.recordHeads([group, unlisted]);
  clock.advance(4_000);
  assert.not(check.hasLeft(unlisted, new Map()));
  assert.not(check.isGone(unlisted));
});

test('detects from the list that a head has restarted or left the group', () => {
  const check = createCheckWithoutPeers();
  check.recordHeads([group]);
  const listed = (change: Partial<fleet.Target>) => new Map([['a', { ...target('a'), ...change }]]);
  assert.not(check.hasLeft(group, listed({})));
  assert.ok(check.hasLeft(group, listed({ startedAtMs: 2 })));
  assert.ok(check.hasLeft(group, listed({ membership: undefined })));
  assert.not(check.hasLeft(group, new Map()));
});

// Guards against members that are taken from a serving group when the store comes back from a copy.
test('takes no older entry of a head for its departure from the group', () => {
  const check = createCheckWithoutPeers();
  check.recordHeads([group]);
  const hasLeft = (change: Partial<fleet.Target>) =>
    check.hasLeft(group, new Map([['a', { ...target('a'), ...change }]]));
  const before = { groupName: 'draft.0', epoch: 0, rank: 0, state: 'ready' } as const;
  assert.not(hasLeft({ startedAtMs: target('a').startedAtMs - 1 }));
  assert.not(hasLeft({ membership: before }));
  assert.ok(hasLeft({ membership: { ...before, groupName: 'draft.2', epoch: 2 } }));
});

test.run();
