import * as clocks from '@comfreydrum/clock';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as objectStore from '@comfreydrum/object-store';
import type * as peers from '@comfreydrum/peers';
import type * as telemetry from '@comfreydrum/telemetry';
import * as zod from 'zod';
import * as holderSearch from './createHolderSearch';

/** What this daemon may do as the controller. */
export type LeaseState =
  | { readonly kind: 'standby'; readonly holderAddress: string | undefined }
  /** `token` rises with each change of the holder. */
  | { readonly kind: 'holder'; readonly token: number; readonly mayAct: boolean };

/** How many requests are in progress, by run of a target. */
export type Loads = Readonly<Record<string, number>>;

/** Lets one daemon at a time act as the controller. */
export interface Lease {
  readonly state: () => LeaseState;
  /** Gives up the lease at once, when a target has seen a higher token. */
  readonly resign: (reason: string) => void;
  /** How many daemons live, as far as this one knows. */
  readonly daemonCount: () => number;
  /** Gives how many requests all other daemons have in progress, by target, as far as they told lately. */
  readonly otherLoads: () => Loads;
  /** Gives the addresses of the daemons that checked in here lately. */
  readonly peerAddresses: () => readonly string[];
  readonly part: lifecycle.Part;
}

/** What a lease needs. */
export interface LeaseOptions {
  readonly client: objectStore.PlatformClient;
  readonly calls: peers.PeerCalls;
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly key: objectStore.ObjectKey;
  /** Names this run of this daemon. */
  readonly runId: string;
  /** Where other daemons call this one. */
  readonly address: string;
  readonly random: () => number;
  /** Gives what this daemon itself has in progress; daemons tell each other as they check in. */
  readonly ownLoads: () => Loads;
  /** What daemons tell each other beside; the holder answers. */
  readonly news: LeaseNews;
}

/** A question that each check-in carries, and the holder's answer. */
export interface LeaseNews {
  readonly question: () => unknown;
  readonly answer: (question: unknown) => unknown;
  readonly take: (answer: unknown, askedAt: clocks.Moment) => void;
}

const recordSchema = zod.object({
  /** Empty when the last holder gave the lease up. */
  holderRunId: zod.string(),
  address: zod.string(),
});
const loadsSchema = zod.record(zod.string(), zod.number());
const checkInSchema = zod.object({
  address: zod.string(),
  loads: loadsSchema,
  question: zod.unknown(),
});
const checkedInSchema = zod.object({
  holderRunId: zod.string(),
  daemonCount: zod.number(),
  /** Those of all daemons but the one that checks in. */
  loads: loadsSchema,
  news: zod.unknown(),
  /** Some other daemons, which may know the next holder. */
  peerAddresses: zod.array(zod.string()),
});

const checkInMethod = 'formation.checkIn';
const tickMs = 100;
const checkInTimeoutMs = 400;
/** A standby checks in this often. */
const checkInIntervalMs = 300;
/** What a check-in costs the holder bounds how often a large fleet checks in. */
const checkInIntervalPerDaemonMs = 7;
/** Misses in a row after which a standby takes over: less when the holder's port refuses. */
const refusedMisses = 2;
const silentMisses = 4;
const renewIntervalMs = 800;
/** A holder acts only while the store confirmed its lease so lately. */
const validityMs = 1_900;
/** A daemon that checked in within this time lives. */
const seenMs = 2_500;
/** How many daemons are taken to live before a holder has told. */
const initialDaemonCount = 8;
/** What others told of their requests in progress says nothing after this. */
const loadsStandMs = 1_500;

/** What others told of themselves is kept small on the wire; these are enough to find a holder through. */
const maxToldPeers = 8;

interface SeenDaemon {
  readonly address: string;
  readonly loads: Loads;
  readonly atMs: number;
}

const sumLoads = (all: readonly Loads[]): Loads => {
  const sums: Record<string, number> = {};
  all.forEach((loads) =>
    Object.entries(loads).forEach(([key, count]) => {
      sums[key] = (sums[key] ?? 0) + count;
    }),
  );
  return sums;
};

/**
 * Creates the lease, held by nobody that this daemon knows of. A holder renews it at the store and stops
 * acting when that fails; standbys call the holder, since the store's calls are few. A standby that takes
 * over from a holder whose death is not proved waits until that one has stopped acting.
 */
export const createLease = (options: LeaseOptions): Lease => {
  const { client, calls, clock, log, key, runId, address } = options;
  const seen = new Map<string, SeenDaemon>();
  let timer: NodeJS.Timeout | undefined;
  let busy = false;
  let stopped = false;
  let holder: holderSearch.Holder | undefined;
  let version: number | undefined;
  let token: number | undefined;
  let confirmedAt: clocks.Moment | undefined;
  let actsFromMs = 0;
  let misses = { refused: 0, silent: 0 };
  let nextAtMs = 0;
  let daemonCount = initialDaemonCount;
  let told: { readonly loads: Loads; readonly atMs: number } = { loads: {}, atMs: -Infinity };

  const isHolder = () => token !== undefined;

  const isConfirmed = () =>
    confirmedAt !== undefined && clocks.maxElapsedMs(clock, confirmedAt) < validityMs;

  const seenLately = () => {
    const nowMs = clock.monotonicMs();
    [...seen]
      .filter(([, { atMs }]) => nowMs - atMs > seenMs)
      .forEach(([callerId]) => seen.delete(callerId));
    return [...seen.values()];
  };

  const loadsOfOthers = (callerId: string): Loads =>
    sumLoads([...seen].filter(([id]) => id !== callerId).map(([, { loads }]) => loads));

  /** Some daemons beside the one that is told, others each time. */
  const toldPeers = (callerAddress: string): readonly string[] => {
    const others = seenLately()
      .map((daemon) => daemon.address)
      .filter((other) => other !== callerAddress);
    const start = Math.floor(options.random() * others.length);
    return [...others.slice(start), ...others.slice(0, start)].slice(0, maxToldPeers);
  };

  const countDaemons = () => seenLately().length + 1;

  const search = holderSearch.createHolderSearch({
    calls,
    random: options.random,
    knownHolder: () => {
      if (isHolder()) return isConfirmed() ? { runId, address } : undefined;
      return clock.monotonicMs() - told.atMs < loadsStandMs ? holder : undefined;
    },
  });

  const stepDown = (reason: string) => {
    if (isHolder()) log.warn({ step: 'lease', token, version }, `gave up control: ${reason}`);
    token = undefined;
    confirmedAt = undefined;
    version = undefined;
    holder = undefined;
  };

  const write = async (holderRunId: string, waitsMs: number): Promise<void> => {
    const askedAt = clocks.readMoment(clock);
    const condition = version === undefined ? ('absent' as const) : { version };
    const put = await client.put(key, { holderRunId, address }, condition, 'safety');
    if (!put.ok) {
      const { kind, step, peer, message } = put.error;
      log.info({ step, peer, kind, version }, message);
      if (kind === 'conflict' || kind === 'not-found') stepDown('another daemon wrote the lease');
      return;
    }
    version = put.value;
    if (holderRunId === '') return;
    confirmedAt = askedAt;
    if (token !== undefined) return;
    token = put.value;
    holder = { runId, address };
    actsFromMs = clock.monotonicMs() + waitsMs;
    log.info({ step: 'lease', token, waitsMs }, 'took control');
  };

  const read = async (): Promise<boolean> => {
    const got = await client.get(key, 'safety');
    if (!got.ok) {
      if (got.error.kind !== 'not-found') return false;
      version = undefined;
      holder = undefined;
      return true;
    }
    const checked = recordSchema.safeParse(got.value.value);
    if (!checked.success) {
      log.warn({ step: 'lease', version: got.value.version }, 'the lease can not be read');
    }
    const { holderRunId = '', address: holderAddress = '' } = checked.data ?? {};
    version = got.value.version;
    holder = holderRunId === '' ? undefined : { runId: holderRunId, address: holderAddress };
    return true;
  };

  /** Looks for the next holder through other daemons, since the store does not answer this one. */
  const searchHolder = async (outdatedRunId: string | undefined) => {
    const found = await search.find(outdatedRunId);
    if (found === undefined || found.runId === runId) return;
    stepDown('other daemons know another holder');
    log.info({ step: 'lease', holderRunId: found.runId, peer: found.address }, 'holder found');
    holder = found;
    misses = { refused: 0, silent: 0 };
  };

  /** Takes the lease over unless someone else has just done so. */
  const takeOver = async (isDeathProved: boolean) => {
    const before = holder?.runId;
    if (!(await read())) {
      await searchHolder(before);
      return;
    }
    if (holder !== undefined && holder.runId !== before) {
      misses = { refused: 0, silent: 0 };
      nextAtMs = 0;
      return;
    }
    const isOwnEarlierRun = holder?.address === address;
    const mayActAtOnce = holder === undefined || isDeathProved || isOwnEarlierRun;
    await write(runId, mayActAtOnce ? 0 : validityMs);
  };

  const checkIn = async () => {
    if (holder === undefined || holder.address === address) {
      await takeOver(true);
      return;
    }
    const asked = holder;
    const askedAt = clocks.readMoment(clock);
    const result = await calls.call(
      asked.address,
      checkInMethod,
      { address, loads: options.ownLoads(), question: options.news.question() },
      checkInTimeoutMs,
    );
    if (result.ok) {
      const checked = checkedInSchema.safeParse(result.value);
      misses = { refused: 0, silent: 0 };
      if (checked.success && checked.data.holderRunId === asked.runId) {
        daemonCount = checked.data.daemonCount;
        options.news.take(checked.data.news, askedAt);
        told = { loads: checked.data.loads, atMs: clock.monotonicMs() };
        search.remember(checked.data.peerAddresses);
        return;
      }
      // The daemon there is no longer the holder.
      await takeOver(true);
      return;
    }
    if (result.error.kind === 'unreachable') misses.refused += 1;
    else misses.silent += 1;
    nextAtMs = 0;
    if (misses.refused >= refusedMisses) await takeOver(true);
    else if (misses.refused + misses.silent >= silentMisses) await takeOver(false);
  };

  const tick = async () => {
    const nowMs = clock.monotonicMs();
    if (busy || stopped || nowMs < nextAtMs) return;
    busy = true;
    try {
      if (isHolder()) {
        nextAtMs = nowMs + renewIntervalMs;
        await write(runId, 0);
        search.remember(seenLately().map((daemon) => daemon.address));
        if (isHolder() && !isConfirmed()) await searchHolder(runId);
      } else {
        const intervalMs = Math.max(checkInIntervalMs, daemonCount * checkInIntervalPerDaemonMs);
        nextAtMs = nowMs + intervalMs * (0.8 + 0.4 * options.random());
        await checkIn();
      }
    } finally {
      busy = false;
    }
  };

  calls.handle(checkInMethod, async (params, callerId) => {
    const checked = checkInSchema.safeParse(params);
    if (!checked.success) throw new Error('params: expected address and loads');
    const { address: callerAddress, loads, question } = checked.data;
    seen.set(callerId, { address: callerAddress, loads, atMs: clock.monotonicMs() });
    return {
      // One that the store does not confirm any more has stopped acting, so another may act at once.
      holderRunId: isHolder() && isConfirmed() ? runId : '',
      daemonCount: countDaemons(),
      loads: sumLoads([loadsOfOthers(callerId), options.ownLoads()]),
      news: isHolder() ? options.news.answer(question) : undefined,
      peerAddresses: toldPeers(callerAddress),
    };
  });

  return {
    state: () => {
      if (token === undefined) return { kind: 'standby', holderAddress: holder?.address };
      return { kind: 'holder', token, mayAct: isConfirmed() && clock.monotonicMs() >= actsFromMs };
    },
    resign: stepDown,
    daemonCount: () => (isHolder() ? countDaemons() : daemonCount),
    otherLoads: () => {
      if (isHolder()) {
        seenLately();
        return loadsOfOthers('');
      }
      return clock.monotonicMs() - told.atMs < loadsStandMs ? told.loads : {};
    },
    peerAddresses: () => seenLately().map((daemon) => daemon.address),
    part: {
      name: 'lease',
      start: () => {
        timer = setInterval(() => {
          void tick();
        }, tickMs);
        void tick();
      },
      stop: async () => {
        stopped = true;
        clearInterval(timer);
        if (!isHolder()) return;
        log.info({ step: 'lease', token }, 'hands control over');
        token = undefined;
        await write('', 0);
      },
    },
  };
};
