import * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createOrderBook } from './createOrderBook';

const test = uvu.suite('order tracker');

const member = (id: string) => ({ id, startedAtMs: 1 }) as fleet.GroupMember;
const members = [member('a'), member('b')];
const group = { key: 'draft.5@5', epoch: 5, members } as unknown as fleet.Group;

test('allows opening a group that this controller formed and has not closed', () => {
  const book = createOrderBook(clocks.createManualClock());
  assert.not(book.mayOpen(group), 'another controller may have closed it');
  book.noteForm(group, members);
  assert.ok(book.mayOpen(group));
  book.noteClose(group);
  assert.not(book.mayOpen(group));
});

test('forbids opening a group with a member that may still execute a later order to join', () => {
  const book = createOrderBook(clocks.createManualClock());
  book.noteForm(group, members);
  book.noteJoinAnswer(members[1]!, 4, false);
  assert.ok(book.mayOpen(group), 'an order with a lower epoch is rejected');
  book.noteJoinAnswer(members[1]!, 6, false);
  assert.not(book.mayOpen(group));
  book.noteJoinAnswer(members[1]!, 5, true);
  assert.not(book.mayOpen(group), 'the later order may still arrive');
  book.noteJoinAnswer(members[1]!, 7, true);
  assert.ok(book.mayOpen(group), 'the delayed order is rejected from now on');
});

test('considers a group possibly opening until it has been opened and closed', () => {
  const book = createOrderBook(clocks.createManualClock());
  assert.ok(book.mayBeOpening(group), 'another controller may have sent the order');
  book.noteForm(group, members);
  assert.not(book.mayBeOpening(group));
  book.noteOpen(group);
  assert.ok(book.mayBeOpening(group));
  book.noteOpenAnswer(group, 'accepted');
  book.noteCloseAnswer(group, 'accepted');
  assert.not(book.mayBeOpening(group));
  book.noteOpenAnswer(group, 'unanswered');
  book.noteCloseAnswer(group, 'accepted');
  assert.ok(book.mayBeOpening(group), 'the order to open may arrive after the order to close');
});

test('reports that a group is being formed until an order fails or times out', () => {
  const clock = clocks.createManualClock();
  const book = createOrderBook(clock);
  const listed = new Map(members.map((one) => [one.id, one as fleet.Target]));
  book.noteForm(group, members);
  book.settle(listed);
  assert.ok(book.isBeingFormed(group));
  assert.ok(book.isOrdered(members[0]!));
  book.fail(members[0]!);
  assert.not(book.isBeingFormed(group));
  book.noteForm(group, members);
  clock.advance(1_500);
  book.settle(listed);
  assert.not(book.isBeingFormed(group));
});

test.run();
