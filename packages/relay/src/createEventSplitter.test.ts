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

test('leaves the events that it returned unchanged when more bytes arrive', () => {
  const splitter = createEventSplitter();
  splitter.feed(Buffer.from('id: 1\n'));
  const [first] = splitter.feed(Buffer.from('data: a\n\nid: 2\n'));
  splitter.feed(Buffer.from('data: b'));
  splitter.feed(Buffer.from('\n'));
  const [second] = splitter.feed(Buffer.from('\n'));
  assert.equal(
    [first, second].map((event) => event?.bytes.toString()),
    ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'],
  );
});

test('counts the bytes of comments and of an event without end since the last event', () => {
  const splitter = createEventSplitter();
  splitter.feed(Buffer.from(': comment\n\n'));
  assert.is(splitter.bufferedBytes(), 11);
  splitter.feed(Buffer.from('data: a'));
  assert.is(splitter.bufferedBytes(), 18);
  splitter.feed(Buffer.from('\n\n'));
  assert.is(splitter.bufferedBytes(), 0);
  splitter.feed(Buffer.from('\n\nevent: a\n\n'));
  assert.is(splitter.bufferedBytes(), 12);
});

test('returns comments with the next event, and those after the last one at the end', () => {
  const splitter = createEventSplitter();
  assert.equal(splitter.feed(Buffer.from(': a\n\n: b\n')), []);
  assert.is(splitter.trailingComments(), undefined);
  const events = splitter.feed(Buffer.from('\nid: 1\ndata: c\n\n: d\n\n'));
  assert.equal(
    events.map(({ bytes, id }) => [bytes.toString(), id]),
    [[': a\n\n: b\n\nid: 1\ndata: c\n\n', 1]],
  );
  assert.is(splitter.trailingComments()?.toString(), ': d\n\n');
});

test('buffers an event without end in linear time', () => {
  const splitter = createEventSplitter();
  const feedCount = 300_000;
  const maxMs = 2_000;
  const startedAtMs = performance.now();
  for (let count = 0; count < feedCount; count += 1) splitter.feed(Buffer.from('a'));
  assert.is(splitter.bufferedBytes(), feedCount);
  assert.ok(performance.now() - startedAtMs < maxMs);
});

test('finds no id in an event without one', () => {
  const [event] = createEventSplitter().feed(Buffer.from('data: id: 4\n\n'));
  assert.is(event?.id, undefined);
});

test.run();
