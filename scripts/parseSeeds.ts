import * as commander from 'commander';

/** Parses a command-line value that gives seeds as `N` or as a range `A-B`. */
export const parseSeeds = (text: string): readonly number[] => {
  const [first, last = first] = text.split('-').map(Number);
  if (!Number.isInteger(first) || !Number.isInteger(last) || last! < first!) {
    throw new commander.InvalidArgumentError('expected N or A-B');
  }
  return Array.from({ length: last! - first! + 1 }, (_, index) => first! + index);
};
