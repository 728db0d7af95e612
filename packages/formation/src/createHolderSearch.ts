import type * as peers from '@comfreydrum/peers';
import * as zod from 'zod';

/** The run of a daemon that holds the lease. */
export interface Holder {
  readonly runId: string;
  readonly address: string;
}

/** Finds the lease holder through other daemons when the store does not serve this one. */
export interface HolderSearch {
  /** Replaces the addresses of other daemons; an empty list is ignored. */
  readonly updatePeers: (addresses: readonly string[]) => void;
  /** Returns the addresses of other daemons, as last replaced. */
  readonly peerAddresses: () => readonly string[];
  /** Returns a holder that another daemon has reached recently, other than the outdated run `exceptRunId`. */
  readonly find: (exceptRunId: string | undefined) => Promise<Holder | undefined>;
}

/** Dependencies of the search. */
export interface HolderSearchOptions {
  readonly calls: peers.PeerCalls;
  readonly random: () => number;
  /** Returns this daemon if it is the holder, or else the holder that it has reached recently. */
  readonly knownHolder: () => Holder | undefined;
}

const whoHoldsMethod = 'formation.whoHolds';
const callTimeoutMs = 300;
/** The store is unlikely to refuse this many daemons at once. */
const maxPeersPerSearch = 5;

const responseSchema = zod.object({
  holder: zod.object({ runId: zod.string(), address: zod.string() }).optional(),
});

/** Creates a search without known daemons, and handles the requests of other daemons. */
export const createHolderSearch = (options: HolderSearchOptions): HolderSearch => {
  const { calls, random } = options;
  let peerAddresses: readonly string[] = [];

  calls.handle(whoHoldsMethod, async () => ({ holder: options.knownHolder() }));

  const askPeer = async (address: string): Promise<Holder | undefined> => {
    const result = await calls.call(address, whoHoldsMethod, {}, callTimeoutMs);
    const checked = result.ok ? responseSchema.safeParse(result.value) : undefined;
    return checked?.data?.holder;
  };

  return {
    updatePeers: (addresses) => {
      if (addresses.length > 0) peerAddresses = addresses;
    },
    peerAddresses: () => peerAddresses,
    find: async (exceptRunId) => {
      const sampledPeers = peerAddresses
        .map((address) => ({ address, order: random() }))
        .sort((one, other) => one.order - other.order)
        .slice(0, maxPeersPerSearch);
      const holders = await Promise.all(sampledPeers.map(({ address }) => askPeer(address)));
      return holders.find((holder) => holder !== undefined && holder.runId !== exceptRunId);
    },
  };
};
