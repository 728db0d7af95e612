import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A seeded random number generator, so that replays are deterministic. */
export interface Random {
  /** Returns a number in [0, 1). */
  readonly fraction: () => number;
  /** Returns an integer in [0, count). */
  readonly index: (count: number) => number;
}

/** Creates a generator whose output depends only on `seed`. */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed);
  return {
    fraction: () => uniformFloat64(generator),
    index: (count) => uniformInt(generator, 0, count - 1),
  };
};
