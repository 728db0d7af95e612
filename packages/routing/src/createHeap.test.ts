import * as assert from 'uvu/assert';
import * as uvu from 'uvu';
import * as heaps from './createHeap';
import * as randoms from './createRandom';

const test = uvu.suite('heap');

interface Item {
  order: number;
}

test('returns items in order after random pushes, removals and updates', () => {
  const random = randoms.createRandom(7);
  const heap = heaps.createHeap<Item>((left, right) => left.order - right.order);
  const items = Array.from({ length: 500 }, (): Item => ({ order: random.index(1_000) }));
  items.forEach(heap.push);
  items.filter((_, index) => index % 3 === 0).forEach((item) => assert.ok(heap.remove(item)));
  items.forEach((item) => {
    Object.assign(item, { order: random.index(1_000) });
    heap.update(item);
  });
  const kept = items.filter((_, index) => index % 3 !== 0).map(({ order }) => order);
  const drained: number[] = [];
  for (let first = heap.peek(); first; first = heap.peek()) {
    drained.push(first.order);
    heap.remove(first);
  }
  assert.equal(
    drained,
    kept.sort((left, right) => left - right),
  );
});

test('returns false when removing an item that was already removed', () => {
  const heap = heaps.createHeap<Item>((left, right) => left.order - right.order);
  const item = { order: 1 };
  heap.push(item);
  assert.ok(heap.remove(item));
  assert.not(heap.remove(item));
});

test.run();
