import type * as peers from '@comfreydrum/peers';
import * as zod from 'zod';

/** The daemon that holds the lease, as one run of it. */
export interface Holder {
  readonly runId: string;
  readonly address: string;
}

/** Finds the holder of the lease through other daemons, when the store turns this one away. */
export interface HolderSearch {
  /** Remembers where other daemons are called. */
  readonly remember: (addresses: readonly string[]) => void;
  /** Gives a holder that another daemon has reached lately, other than the run that is known to be out of date. */
  readonly find: (exceptRunId: string | undefined) => Promise<Holder | undefined>;
}

/** What the search needs. */
export interface HolderSearchOptions {
  readonly calls: peers.PeerCalls;
  readonly random: () => number;
  /** Gives the holder that this daemon is, or has reached lately. */
  readonly knownHolder: () => Holder | undefined;
}

const method = 'formation.whoHolds';
const callTimeoutMs = 300;
/** So many daemons are hardly all turned away by the store. */
const maxAsked = 5;

const answerSchema = zod.object({
  holder: zod.object({ runId: zod.string(), address: zod.string() }).optional(),
});

/** Creates a search that knows no daemons; it also answers the questions of others. */
export const createHolderSearch = (options: HolderSearchOptions): HolderSearch => {
  const { calls, random } = options;
  let known: readonly string[] = [];

  calls.handle(method, async () => ({ holder: options.knownHolder() }));

  const ask = async (address: string): Promise<Holder | undefined> => {
    const result = await calls.call(address, method, {}, callTimeoutMs);
    const checked = result.ok ? answerSchema.safeParse(result.value) : undefined;
    return checked?.data?.holder;
  };

  return {
    remember: (addresses) => {
      if (addresses.length > 0) known = addresses;
    },
    find: async (exceptRunId) => {
      const asked = known
        .map((address) => ({ address, order: random() }))
        .sort((one, other) => one.order - other.order)
        .slice(0, maxAsked);
      const answers = await Promise.all(asked.map(({ address }) => ask(address)));
      return answers.find((holder) => holder !== undefined && holder.runId !== exceptRunId);
    },
  };
};
