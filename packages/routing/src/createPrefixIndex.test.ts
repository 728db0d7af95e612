import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as routing from './index';

const test = uvu.suite('prefix index');

test('counts the blocks before a cached one even if too many targets have them cached', () => {
  const index = routing.createPrefixIndex();
  index.add('g0', ['system', 'case-7'], 0);
  Array.from({ length: 20 }, (_, group) =>
    index.add(`g${group + 1}`, ['system', `case-${group + 10}`], 1),
  );
  assert.is(index.heldBlocks('g0', ['system', 'case-7', 'turn'], 2), 2);
  assert.equal(index.holders(['system', 'case-7', 'turn'], 2), ['g0']);
});

test('removes evicted and expired entries', () => {
  const index = routing.createPrefixIndex({ maxAgeMs: 1_000 });
  index.add('g0', ['a', 'b'], 0);
  index.remove('g0', 'b');
  assert.is(index.heldBlocks('g0', ['a', 'b'], 1), 1);
  assert.is(index.heldBlocks('g0', ['a', 'b'], 1_001), 0);
  assert.equal(index.holders(['a', 'b'], 1_001), []);
});

test('keeps only the most recently added prefixes', () => {
  const index = routing.createPrefixIndex({ maxPrefixes: 2 });
  index.add('g0', ['a', 'b', 'c'], 0);
  assert.is(index.heldBlocks('g0', ['a'], 1), 0);
  assert.is(index.heldBlocks('g0', ['c'], 1), 1);
});

test.run();
