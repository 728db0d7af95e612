import * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createOrderTracker } from './createOrderTracker';

const test = uvu.suite('order tracker');

const member = (id: string) => ({ id, startedAtMs: 1 }) as fleet.GroupMember;
const members = [member('a'), member('b')];
const group = { key: 'draft.5@5', epoch: 5, members } as unknown as fleet.Group;

test('allows opening a group that this controller formed and has not closed', () => {
  const tracker = createOrderTracker(clocks.createManualClock());
  assert.not(tracker.mayOpen(group), 'another controller may have closed it');
  tracker.recordForm(group, members);
  assert.ok(tracker.mayOpen(group));
  tracker.recordClose(group, 'shed-work');
  assert.not(tracker.mayOpen(group));
});

test('forbids opening a group with a member that may still execute a later order to join', () => {
  const tracker = createOrderTracker(clocks.createManualClock());
  tracker.recordForm(group, members);
  tracker.recordJoinResponse(members[1]!, 4, false);
  assert.ok(tracker.mayOpen(group), 'an order with a lower epoch is rejected');
  tracker.recordJoinResponse(members[1]!, 6, false);
  assert.not(tracker.mayOpen(group));
  tracker.recordJoinResponse(members[1]!, 5, true);
  assert.not(tracker.mayOpen(group), 'the later order may still arrive');
  tracker.recordJoinResponse(members[1]!, 7, true);
  assert.ok(tracker.mayOpen(group), 'the delayed order is rejected from now on');
});

test('considers a group possibly opening until it has been opened and closed', () => {
  const tracker = createOrderTracker(clocks.createManualClock());
  assert.ok(tracker.mayBeOpening(group), 'another controller may have sent the order');
  tracker.recordForm(group, members);
  assert.not(tracker.mayBeOpening(group));
  tracker.recordOpen(group);
  assert.ok(tracker.mayBeOpening(group));
  tracker.recordOpenResponse(group, 'accepted');
  tracker.recordCloseResponse(group, 'accepted');
  assert.not(tracker.mayBeOpening(group));
  tracker.recordOpenResponse(group, 'unanswered');
  tracker.recordCloseResponse(group, 'accepted');
  assert.ok(tracker.mayBeOpening(group), 'the order to open may arrive after the order to close');
});

test('considers a head possibly open if it refuses a second order to open', () => {
  (['accepted', 'unanswered'] as const).forEach((response) => {
    const tracker = createOrderTracker(clocks.createManualClock());
    tracker.recordForm(group, members);
    tracker.recordOpen(group);
    tracker.recordOpenResponse(group, response);
    tracker.recordOpen(group);
    tracker.recordOpenResponse(group, 'refused');
    assert.ok(tracker.mayBeOpening(group), `the first order was ${response}`);
  });
});

test('considers a head possibly opening after its close if an earlier order to open was not answered', () => {
  const tracker = createOrderTracker(clocks.createManualClock());
  tracker.recordForm(group, members);
  (['unanswered', 'accepted'] as const).forEach((response) => {
    tracker.recordOpen(group);
    tracker.recordOpenResponse(group, response);
  });
  tracker.recordCloseResponse(group, 'accepted');
  assert.ok(tracker.mayBeOpening(group));
});

test('forbids opening a group while a member is ordered into another one', () => {
  const tracker = createOrderTracker(clocks.createManualClock());
  tracker.recordForm(group, members);
  const other = { key: 'draft.6@6' };
  tracker.recordForm(other, members.slice(1));
  assert.not(tracker.mayOpen(group));
  tracker.recordUnsentForm(other, members.slice(1));
  assert.ok(tracker.mayOpen(group));
});

test('reports that a group is being formed until an order fails or times out', () => {
  const clock = clocks.createManualClock();
  const tracker = createOrderTracker(clock);
  const listed = new Map(members.map((one) => [one.id, one as fleet.Target]));
  tracker.recordForm(group, members);
  tracker.dropSettled(listed);
  assert.ok(tracker.isForming(group));
  assert.ok(tracker.hasPendingOrder(members[0]!));
  tracker.recordFailure(members[0]!);
  assert.not(tracker.isForming(group));
  tracker.recordForm(group, members);
  clock.advance(1_500);
  tracker.dropSettled(listed);
  assert.not(tracker.isForming(group));
});

test('asks a host that is loading weights again after a while', () => {
  const clock = clocks.createManualClock();
  const tracker = createOrderTracker(clock);
  const target = { ...members[0]!, stagedModels: [] } as unknown as fleet.Target;
  tracker.recordBusyHost(target, 'draft');
  clock.advance(2_000);
  tracker.dropSettled(new Map([[target.id, target]]));
  assert.is(tracker.stagingModelOf(target), 'draft');
  clock.advance(1_000);
  tracker.dropSettled(new Map([[target.id, target]]));
  assert.is(tracker.stagingModelOf(target), undefined);
});

test.run();
