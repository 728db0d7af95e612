/** Returns the items in random order; `random` returns uniform numbers in [0, 1). */
export const shuffle = <Item>(items: readonly Item[], random: () => number): readonly Item[] => {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const index = Math.floor(random() * (last + 1));
    [shuffled[last], shuffled[index]] = [shuffled[index]!, shuffled[last]!];
  }
  return shuffled;
};
