import type * as xxhash from 'xxhash-wasm';
import * as zod from 'zod';
import {
  bucketRowsSchema,
  createBucketDigests,
  digestSchema,
  digestsSchema,
  exchangeSchema,
} from './createBucketDigests';
import type { PeerState } from './createPeerState';
import type { Schedule } from './createSchedule';
import type { PeerCalls } from './PeerCalls';
import { shuffle } from './shuffle';

/** Synchronises members and messages between daemons that missed datagrams. */
export interface AntiEntropy {
  readonly start: () => void;
  /** Synchronises with the daemon at an address; returns whether it responded. */
  readonly syncWith: (address: string) => Promise<boolean>;
}

/** Options of `createAntiEntropy`. */
export interface AntiEntropyOptions {
  readonly state: PeerState;
  readonly calls: PeerCalls;
  readonly hasher: xxhash.XXHashAPI;
  readonly schedule: Schedule;
  readonly nowMs: () => number;
  readonly random: () => number;
}

const compareMethod = 'peers.compare';
const exchangeMethod = 'peers.exchange';
const callTimeoutMs = 2_000;
const minIntervalMs = 5_000;
const intervalPerMemberMs = 50;
/** After a member joins or returns, this daemon synchronizes with it within this time. */
const maxCatchUpDelayMs = 1_000;
const compareParamsSchema = zod.object({ digest: digestSchema });
/** Empty if both daemons hold the same state, else the digest of each bucket. */
const comparedSchema = zod.union([zod.array(digestSchema).length(0), digestsSchema]);

/** Creates the anti-entropy exchange and registers its RPC methods. */
export const createAntiEntropy = (options: AntiEntropyOptions): AntiEntropy => {
  const { state, calls, nowMs, schedule } = options;
  const bucketDigests = createBucketDigests(state.table, state.store, options.hasher);

  calls.handle(compareMethod, async (params) => {
    const { digest } = compareParamsSchema.parse(params);
    const digests = bucketDigests.digests(nowMs());
    return bucketDigests.combine(digests) === digest ? [] : digests;
  });
  calls.handle(exchangeMethod, async (params) => {
    const { buckets, ...rows } = exchangeSchema.parse(params);
    const own = bucketDigests.rows(buckets, nowMs());
    state.mergeRows(rows);
    return own;
  });

  const syncWith = async (address: string): Promise<boolean> => {
    const digest = bucketDigests.combine(bucketDigests.digests(nowMs()));
    const answer = await calls.call(address, compareMethod, { digest }, callTimeoutMs);
    const compared = answer.ok ? comparedSchema.safeParse(answer.value) : undefined;
    if (!compared?.success) return false;
    if (compared.data.length === 0) return true;
    const buckets = bucketDigests.differingBuckets(compared.data, nowMs());
    if (buckets.length === 0) return true;
    const params = { buckets, ...bucketDigests.rows(buckets, nowMs()) };
    const exchanged = await calls.call(address, exchangeMethod, params, callTimeoutMs);
    const rows = exchanged.ok ? bucketRowsSchema.safeParse(exchanged.value) : undefined;
    if (rows?.success) state.mergeRows(rows.data);
    return true;
  };

  let syncing = false;
  const syncWithRandomPeer = async () => {
    if (syncing) return;
    const [peer] = shuffle(state.liveOthers(), options.random);
    if (!peer) return;
    syncing = true;
    await syncWith(peer.address).finally(() => {
      syncing = false;
    });
  };

  const known = new Set<string>();
  let catchUpScheduled = false;
  state.onMember.add(({ instanceId, state: memberState }) => {
    if (memberState === 'dead') known.delete(instanceId);
    if (memberState !== 'live' || known.has(instanceId)) return;
    known.add(instanceId);
    if (catchUpScheduled || instanceId === state.table.self().instanceId) return;
    catchUpScheduled = true;
    schedule.after(maxCatchUpDelayMs * options.random(), () => {
      catchUpScheduled = false;
      const member = state.table.find(instanceId);
      if (member) void syncWith(member.address);
    });
  });

  return {
    start: () =>
      schedule.every(
        () => Math.max(minIntervalMs, intervalPerMemberMs * state.liveOthers().length),
        syncWithRandomPeer,
      ),
    syncWith,
  };
};
