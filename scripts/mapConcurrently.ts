/** Maps items with at most `concurrency` calls in flight; returns the outputs in the order of the items. */
export const mapConcurrently = async <Item, Output>(
  items: readonly Item[],
  concurrency: number,
  map: (item: Item) => Promise<Output>,
): Promise<readonly Output[]> => {
  const outputs: Output[] = [];
  let nextIndex = 0;
  const runWorker = async () => {
    while (nextIndex < items.length) {
      const index = nextIndex;
      nextIndex += 1;
      outputs[index] = await map(items[index]!);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runWorker));
  return outputs;
};
