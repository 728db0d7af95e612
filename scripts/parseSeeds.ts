import * as commander from 'commander';

/** Reads an option that names seeds as `N` or `A-B`. */
export const parseSeeds = (text: string): readonly number[] => {
  const [from, to = from] = text.split('-').map(Number);
  if (!Number.isInteger(from) || !Number.isInteger(to) || to! < from!) {
    throw new commander.InvalidArgumentError('expected N or A-B');
  }
  return Array.from({ length: to! - from! + 1 }, (_, index) => from! + index);
};
