/** A binary heap that can remove or reorder any item; all changes take O(log n). */
export interface Heap<Item> {
  readonly size: () => number;
  readonly has: (item: Item) => boolean;
  /** Returns the first item without removing it. */
  readonly peek: () => Item | undefined;
  readonly push: (item: Item) => void;
  /** Removes an item; returns false if it is not in the heap. */
  readonly remove: (item: Item) => boolean;
  /** Restores the heap order after the order of an item has changed. */
  readonly update: (item: Item) => void;
}

/** Creates an empty heap; `compare` returns a negative number if `left` comes first. */
export const createHeap = <Item>(compare: (left: Item, right: Item) => number): Heap<Item> => {
  const items: Item[] = [];
  const indexes = new Map<Item, number>();

  const place = (item: Item, index: number) => {
    items[index] = item;
    indexes.set(item, index);
  };

  const siftUp = (start: number) => {
    const item = items[start]!;
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (compare(item, items[parent]!) >= 0) break;
      place(items[parent]!, index);
      index = parent;
    }
    place(item, index);
    return index;
  };

  const siftDown = (start: number) => {
    const item = items[start]!;
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= items.length) break;
      const right = left + 1;
      const rightIsFirst = right < items.length && compare(items[right]!, items[left]!) < 0;
      const child = rightIsFirst ? right : left;
      if (compare(items[child]!, item) >= 0) break;
      place(items[child]!, index);
      index = child;
    }
    place(item, index);
  };

  const restoreOrder = (index: number) => siftDown(siftUp(index));

  return {
    size: () => items.length,
    has: (item) => indexes.has(item),
    peek: () => items[0],
    push: (item) => {
      items.push(item);
      siftUp(items.length - 1);
    },
    remove: (item) => {
      const index = indexes.get(item);
      if (index === undefined) return false;
      indexes.delete(item);
      const last = items.pop()!;
      if (last !== item) {
        place(last, index);
        restoreOrder(index);
      }
      return true;
    },
    update: (item) => {
      const index = indexes.get(item);
      if (index !== undefined) restoreOrder(index);
    },
  };
};
