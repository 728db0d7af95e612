import * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createOrderBook } from './createOrderBook';

const test = uvu.suite('order book');

const member = (id: string) => ({ id, startedAtMs: 1 }) as fleet.GroupMember;
const members = [member('a'), member('b')];
const group = { key: 'draft.5@5', epoch: 5, members } as unknown as fleet.Group;

test('lets a group open that was formed here and not closed', () => {
  const book = createOrderBook(clocks.createManualClock());
  assert.not(book.mayOpen(group), 'another controller may have closed it');
  book.noteForm(group, members);
  assert.ok(book.mayOpen(group));
  book.noteClose(group);
  assert.not(book.mayOpen(group));
});

test('lets no group open of which a member may still take a later order to join', () => {
  const book = createOrderBook(clocks.createManualClock());
  book.noteForm(group, members);
  book.noteJoinAnswer(members[1]!, 4, false);
  assert.ok(book.mayOpen(group), 'an earlier order is refused by its epoch');
  book.noteJoinAnswer(members[1]!, 6, false);
  assert.not(book.mayOpen(group));
  book.noteJoinAnswer(members[1]!, 5, true);
  assert.not(book.mayOpen(group), 'the later order is still on its way');
  book.noteJoinAnswer(members[1]!, 7, true);
  assert.ok(book.mayOpen(group), 'the late order is refused by now');
});

test('takes a head for opening until its order was refused, or it was opened and closed', () => {
  const book = createOrderBook(clocks.createManualClock());
  assert.ok(book.mayBeOpening(group), 'another controller may have ordered it');
  book.noteForm(group, members);
  assert.not(book.mayBeOpening(group));
  book.noteOpen(group);
  assert.ok(book.mayBeOpening(group));
  book.noteOpenAnswer(group, 'taken');
  book.noteCloseAnswer(group, 'taken');
  assert.not(book.mayBeOpening(group));
  book.noteOpenAnswer(group, 'unanswered');
  book.noteCloseAnswer(group, 'taken');
  assert.ok(book.mayBeOpening(group), 'the order may come after the one to close');
});

test('counts a group as being formed until the list shows it, or an order failed', () => {
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
