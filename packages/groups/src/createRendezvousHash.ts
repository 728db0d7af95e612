import xxhash from 'xxhash-wasm';

/** A candidate for selection. */
export interface Candidate {
  readonly instanceId: string;
  readonly failureDomain: string;
}

/**
 * Selects `count` candidates for a key, the same on every daemon with the same candidates,
 * preferably in distinct failure domains.
 */
export type RendezvousHash = <Choice extends Candidate>(
  key: string,
  candidates: readonly Choice[],
  count: number,
) => readonly Choice[];

/** Loads the hash function and creates a rendezvous (highest random weight) hash. */
export const createRendezvousHash = async (): Promise<RendezvousHash> => {
  const { h64ToString } = await xxhash();
  return (key, candidates, count) => {
    const ranked = candidates
      .map((candidate) => ({ candidate, weight: h64ToString(`${key}/${candidate.instanceId}`) }))
      .sort((left, right) => (left.weight < right.weight ? 1 : -1))
      .map(({ candidate }) => candidate);
    const firstPerDomain = ranked.filter(
      ({ failureDomain }, index) =>
        ranked.findIndex((other) => other.failureDomain === failureDomain) === index,
    );
    const rest = ranked.filter((candidate) => !firstPerDomain.includes(candidate));
    return [...firstPerDomain, ...rest].slice(0, count);
  };
};
