import * as uniformFloat from 'pure-rand/distribution/uniformFloat64';
import * as uniformInt from 'pure-rand/distribution/uniformInt';
import * as generators from 'pure-rand/generator/xoroshiro128plus';

/** A seeded pseudorandom number generator. */
export interface Random {
  /** Returns a number in [0, 1). */
  readonly fraction: () => number;
  /** Returns an integer between two bounds, both inclusive. */
  readonly integer: (from: number, to: number) => number;
  /** Returns a random element of a non-empty list. */
  readonly pick: <Item>(items: readonly Item[]) => Item;
}

/** Creates a generator whose sequence depends on `seed` alone. */
export const createRandom = (seed: number): Random => {
  const generator = generators.xoroshiro128plus(seed);
  const integer = (from: number, to: number) => uniformInt.uniformInt(generator, from, to);
  return {
    fraction: () => uniformFloat.uniformFloat64(generator),
    integer,
    pick: (items) => {
      if (items.length === 0) throw new Error('cannot pick from an empty list');
      return items[integer(0, items.length - 1)]!;
    },
  };
};
