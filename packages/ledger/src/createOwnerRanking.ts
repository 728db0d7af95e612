import type * as peers from '@comfreydrum/peers';
import type { XXHashAPI } from 'xxhash-wasm';

/** Ranks the daemons that write a partition, so that batches are large and conflicts are rare. */
export interface OwnerRanking {
  /** Returns the live daemons in order of preference for writing the partition. */
  readonly rank: (partition: number) => readonly peers.PeerMember[];
}

const score = (hash: XXHashAPI, partition: number, instanceId: string): number =>
  hash.h32(`${instanceId}/${partition}`);

/** Creates an owner ranking by rendezvous hashing over the live members. */
export const createOwnerRanking = (
  membership: peers.Membership,
  hash: XXHashAPI,
): OwnerRanking => ({
  rank: (partition) =>
    membership
      .members()
      .filter(({ state }) => state === 'live')
      .map((member) => ({ member, score: score(hash, partition, member.instanceId) }))
      .sort((left, right) => right.score - left.score)
      .map(({ member }) => member),
});
