import * as fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import { createEventSplitter } from './createEventSplitter';
import { eventsOf } from './testing/streams';

const test = uvu.suite('event splitter');

test('returns each complete event once, regardless of how the bytes are split', () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({ min: 1, max: 12 }),
      fastCheck.array(fastCheck.integer({ min: 1, max: 40 }), { maxLength: 40 }),
      fastCheck.boolean(),
      (count, cuts, withReturns) => {
        const text = eventsOf(1, count);
        const bytes = Buffer.from(withReturns ? text.replaceAll('\n', '\r\n') : text);
        const splitter = createEventSplitter();
        const events = [];
        let start = 0;
        for (const size of [...cuts, bytes.length]) {
          events.push(...splitter.feed(bytes.subarray(start, start + size)));
          start += size;
        }
        assert.equal(
          events.map(({ id }) => id),
          Array.from({ length: count }, (_, index) => index + 1),
        );
        assert.ok(Buffer.concat(events.map((event) => event.bytes)).equals(bytes));
        assert.is(splitter.bufferedBytes(), 0);
      },
    ),
  );
});

test('buffers an incomplete event', () => {
  const splitter = createEventSplitter();
  assert.is(splitter.feed(Buffer.from('id: 1\ndata: a\n')).length, 0);
  assert.is(splitter.bufferedBytes(), 14);
  assert.is(splitter.feed(Buffer.from('\n')).length, 1);
});

test('finds no id in an event without one', () => {
  const [event] = createEventSplitter().feed(Buffer.from('data: id: 4\n\n'));
  assert.is(event?.id, undefined);
});

test.run();
