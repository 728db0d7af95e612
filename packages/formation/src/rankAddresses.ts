import { createHash } from 'node:crypto';

/** Orders addresses by a hash of each with a key: the same at every daemon, and little changed by one address more. */
export const rankAddresses = (key: string, addresses: readonly string[]): readonly string[] =>
  addresses
    .map((address) => ({
      address,
      weight: createHash('sha1').update(`${key}/${address}`).digest('hex'),
    }))
    .sort((left, right) => (left.weight < right.weight ? 1 : -1))
    .map(({ address }) => address);
