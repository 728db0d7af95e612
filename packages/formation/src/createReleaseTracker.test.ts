import * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createReleaseTracker } from './createReleaseTracker';

const test = uvu.suite('targets that left a group whose head may still serve');

const stallMs = 4_000;

const targetOf = (
  membership: Pick<fleet.GroupMembership, 'rank'> | undefined,
  loadedModels: readonly string[] = ['draft'],
) =>
  ({
    id: 'm1',
    startedAtMs: 1,
    loadedModels,
    membership: membership && { groupName: 'draft.1', epoch: 1, state: 'ready', ...membership },
  }) as fleet.Target;

const createCase = (hasHeadEnded = false) => {
  const clock = clocks.createManualClock(10_000);
  const tracker = createReleaseTracker({ clock, stallMs, hasHeadEnded: () => hasHeadEnded });
  return {
    observe: (...listed: readonly fleet.Target[]) => tracker.observe(listed),
    advance: clock.advance,
    isHeld: () => tracker.isHeld(targetOf(undefined)),
  };
};

test('are held until the group has stood still for the stall time', () => {
  const { observe, advance, isHeld } = createCase();
  observe(targetOf({ rank: 1 }));
  advance(60_000);
  observe(targetOf(undefined));
  advance(stallMs);
  assert.ok(isHeld());
  advance(500);
  assert.not(isHeld());
});

test('are held by a daemon that has started since they left', () => {
  const { observe, advance, isHeld } = createCase();
  observe(targetOf(undefined));
  assert.ok(isHeld());
  advance(stallMs + 500);
  assert.not(isHeld());
});

test('are held while their entry has lapsed', () => {
  const { observe, advance, isHeld } = createCase();
  observe(targetOf({ rank: 1 }));
  observe(targetOf(undefined));
  observe();
  advance(stallMs);
  observe(targetOf(undefined));
  assert.ok(isHeld());
});

test('are free at once if they were the head, if the head has ended, or if they were in no group', () => {
  const formerHead = createCase();
  formerHead.observe(targetOf({ rank: 0 }));
  formerHead.observe(targetOf(undefined));
  assert.not(formerHead.isHeld());
  const ended = createCase(true);
  ended.observe(targetOf({ rank: 1 }));
  ended.observe(targetOf(undefined));
  assert.not(ended.isHeld());
  const unused = createCase();
  unused.observe(targetOf(undefined, []));
  assert.not(unused.isHeld());
});

test.run();
