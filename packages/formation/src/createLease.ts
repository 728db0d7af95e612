import * as clocks from '@comfreydrum/clock';
import * as fleet from '@comfreydrum/fleet';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as objectStore from '@comfreydrum/object-store';
import type * as peers from '@comfreydrum/peers';
import type * as telemetry from '@comfreydrum/telemetry';
import * as zod from 'zod';
import { chooseObservers } from './chooseObservers';
import * as holderSearch from './createHolderSearch';

/** Whether this daemon holds the controller lease, and may act on it. */
export type LeaseState =
  | { readonly kind: 'standby'; readonly holderAddress: string | undefined }
  /** `token` increases with each change of the holder. */
  | {
      readonly kind: 'holder';
      readonly token: number;
      readonly mayAct: boolean;
      /** Monotonic time from which on no earlier holder acts any more. */
      readonly actsFromMs: number;
    };

/** Number of requests in progress, by run of a target. */
export type TargetLoads = Readonly<Record<string, number>>;

/** A lease that lets one daemon at a time act as the controller. */
export interface Lease {
  readonly state: () => LeaseState;
  /** Gives up the lease immediately; used when a target has seen a higher token. */
  readonly resign: (reason: string) => void;
  /** Returns the number of live daemons known to this one. */
  readonly daemonCount: () => number;
  /** Returns the requests that other daemons have in progress, as recently reported. */
  readonly otherLoads: () => TargetLoads;
  /** Returns the mean age of these reports. */
  readonly otherLoadsAgeMs: () => number;
  /** Returns the addresses of some other live daemons, the holder among them. */
  readonly contactAddresses: () => readonly string[];
  /** Makes a standby check in with the holder at the next tick. */
  readonly checkInSoon: () => void;
  /** Returns the daemons that probe silent groups for all, by the latest word of the holder; none in a small fleet. */
  readonly observerAddresses: () => readonly string[];
  /** Returns the addresses of the daemons that have checked in with this one recently. */
  readonly peerAddresses: () => readonly string[];
  readonly component: lifecycle.Component;
}

/** Dependencies of a lease. */
export interface LeaseOptions {
  readonly client: objectStore.PlatformClient;
  readonly calls: peers.PeerCalls;
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly key: objectStore.ObjectKey;
  /** Whether no daemon has held the lease before; otherwise a missing record was lost by the store. */
  readonly isFirstStart: boolean;
  /** Identifies this run of this daemon. */
  readonly runId: string;
  /** Address at which other daemons call this one. */
  readonly address: string;
  readonly random: () => number;
  /** Processor time that this daemon may use in each second, in seconds. */
  readonly cores: number;
  /** Returns the requests that this daemon has in progress, which are exchanged in check-ins. */
  readonly ownLoads: () => TargetLoads;
  /** Additional data exchanged in check-ins. */
  readonly checkInPayload: CheckInPayload;
}

/** Data added to check-ins: the sender's request, and the holder's response. */
export interface CheckInPayload {
  readonly createRequest: (holderRunId: string) => unknown;
  readonly createResponse: (question: unknown) => unknown;
  readonly applyResponse: (answer: unknown, askedAt: clocks.Timestamp) => void;
}

const recordSchema = zod.object({
  /** Empty if the last holder released the lease. */
  holderRunId: zod.string(),
  address: zod.string(),
  /** Era of the store in which the holder took over. */
  era: zod.number().optional(),
  /** Added to the version of the record to get the holder's token. */
  tokenOffset: zod.number().default(0),
});
const loadsSchema = zod.record(zod.string(), zod.number());
const checkInRequestSchema = zod.object({
  address: zod.string(),
  cores: zod.number().optional(),
  loads: loadsSchema,
  question: zod.unknown(),
});
const checkInResponseSchema = zod.object({
  holderRunId: zod.string(),
  daemonCount: zod.number(),
  /** The most that one of the daemons has. */
  maxCores: zod.number().optional(),
  /** Sums over all daemons except the one that checks in. */
  loads: loadsSchema,
  news: zod.unknown(),
  /** Addresses of some other daemons, which may know the next holder. */
  peerAddresses: zod.array(zod.string()),
  /** The daemons that probe silent groups for all. */
  observerAddresses: zod.array(zod.string()).optional(),
});

/**
 * Why a standby takes over: the holder has stopped, or said that it doesn't hold the lease, or doesn't answer. One that has
 * not stopped may renew its lease until it is taken over.
 */
type HolderLoss = 'stopped' | 'denied' | 'silent';

const checkInMethod = 'formation.checkIn';
const tickIntervalMs = 100;
const checkInTimeoutMs = 400;
/** Interval at which a standby checks in, in a small fleet. */
const minCheckInIntervalMs = 300;
/** In a large fleet the interval grows with the number of daemons, to limit the holder's cost of check-ins. */
const checkInIntervalPerDaemonMs = 7;
/** A standby takes over after this many check-ins in a row were refused by the holder's port. */
const refusedCheckInLimit = 2;
/** A standby takes over after this many check-ins in a row failed in any way, if the holder has not renewed its lease meanwhile. */
const failedCheckInLimit = 4;
/** Timeout of check-ins with a holder that renews its lease but is slow to answer. */
const patientTimeoutMs = 800;
/** A standby takes over from a holder that renews its lease after this many such check-ins in a row failed. */
const patientCheckInLimit = 2;
/** A standby with less than this fraction of the processor time of others lets them take over first. */
const ampleCoresFraction = 0.9;
/** Within this fraction of the interval, one of the others has checked in. */
const othersFirstFraction = 0.8;
const maxOthersFirstMs = 1_000;
const renewIntervalMs = 800;
/** A holder that has not renewed its lease for this long may be gone; one short of processor time renews late. */
const renewalPatienceMs = 1_200;
/** A holder acts only if the store has confirmed its lease within this time. */
const leaseValidityMs = 1_900;
/** A daemon that has checked in within this time is considered live. */
const checkInValidityMs = 2_500;
/** Number of live daemons to assume until a holder has reported it. */
const initialDaemonCount = 8;
/** Reports of requests in progress are ignored after this time. */
const loadsValidityMs = 1_500;

/** More than the versions that the store loses when it comes back from a copy some seconds old. */
const lostVersions = 1_000_000;

/** How long the holder keeps its choice of observers; each choice takes time in proportion to the daemons. */
const observersValidityMs = 1_000;
/** Addresses per check-in response. These are enough to find a holder, and keep the response small. */
const maxSharedPeers = 8;

interface CheckedInDaemon {
  readonly address: string;
  readonly loads: TargetLoads;
  readonly cores: number;
  readonly atMs: number;
}

const sumLoads = (all: readonly TargetLoads[]): TargetLoads => {
  const sums: Record<string, number> = {};
  all.forEach((loads) =>
    Object.entries(loads).forEach(([key, count]) => {
      sums[key] = (sums[key] ?? 0) + count;
    }),
  );
  return sums;
};

/**
 * Creates a lease without a known holder. The holder renews the lease at the store, and stops acting when the
 * renewal fails. Standbys check in with the holder instead of the store, since the store limits the rate of
 * calls. A standby that takes over waits until the lease of the previous holder has expired, unless that
 * holder is known to have stopped.
 */
export const createLease = (options: LeaseOptions): Lease => {
  const { client, calls, clock, log, key, runId, address } = options;
  const daemonsById = new Map<string, CheckedInDaemon>();
  let timer: NodeJS.Timeout | undefined;
  let isTicking = false;
  let isStopped = false;
  let holder: holderSearch.Holder | undefined;
  let version: number | undefined;
  let token: number | undefined;
  let era: objectStore.Era;
  let tokenOffset = 0;
  /** Eras that have passed since the record was written; targets may know of holders from then on that it doesn't name. */
  let passedEras = 0;
  /** Whether a target has refused the token of this daemon since it last read the record. */
  let wasOutdated = false;
  let confirmedAt: clocks.Timestamp | undefined;
  /** Whether a daemon was told, since the last write was asked for, that this one doesn't hold the lease; that one may act at once. */
  let hasDeniedHolding = false;
  let actsFromMs = 0;
  /** When the lease of the previous holder has expired. */
  let previousExpiresAtMs = -Infinity;
  let failures = { refused: 0, silent: 0 };
  /** The record as it was read when the holder began to be silent. */
  let recordAtSilence: { readonly version: number | undefined; readonly atMs: number } | undefined;
  /** Whether the holder was silent although it renews its lease, and has not answered quickly since. */
  let isHolderSlow = false;
  let nextActionAtMs = 0;
  let observerAddresses: readonly string[] = [];
  let ownObservers = { addresses: observerAddresses, atMs: -Infinity };
  let daemonCount = initialDaemonCount;
  let maxCores = options.cores;
  /** When this daemon may take over from a holder that it takes for gone. */
  let takesOverAtMs: number | undefined;
  let holderUpdate: { readonly loads: TargetLoads; readonly atMs: number } = {
    loads: {},
    atMs: -Infinity,
  };

  const isHolder = () => token !== undefined;

  const isConfirmed = () =>
    confirmedAt !== undefined && clocks.maxElapsedMs(clock, confirmedAt) < leaseValidityMs;

  const pruneDaemons = () => {
    const nowMs = clock.monotonicMs();
    [...daemonsById]
      .filter(([, { atMs }]) => nowMs - atMs > checkInValidityMs)
      .forEach(([callerId]) => daemonsById.delete(callerId));
    return [...daemonsById.values()];
  };

  const sumLoadsExcept = (callerId: string): TargetLoads =>
    sumLoads([...daemonsById].filter(([id]) => id !== callerId).map(([, { loads }]) => loads));

  /** Returns addresses of live daemons other than the caller, from a random position on. */
  const samplePeers = (callerAddress: string): readonly string[] => {
    const others = pruneDaemons()
      .map((daemon) => daemon.address)
      .filter((other) => other !== callerAddress);
    const start = Math.floor(options.random() * others.length);
    return [...others.slice(start), ...others.slice(0, start)].slice(0, maxSharedPeers);
  };

  /** Returns the observers, while this daemon is the holder. */
  const chooseOwnObservers = (): readonly string[] => {
    const nowMs = clock.monotonicMs();
    if (nowMs - ownObservers.atMs < observersValidityMs) return ownObservers.addresses;
    const addresses = [address, ...pruneDaemons().map((daemon) => daemon.address)];
    ownObservers = { addresses: chooseObservers(addresses), atMs: nowMs };
    return ownObservers.addresses;
  };

  const checkInIntervalMs = () =>
    Math.max(minCheckInIntervalMs, daemonCount * checkInIntervalPerDaemonMs);

  const otherLoadsAgeMs = () => {
    const nowMs = clock.monotonicMs();
    // The reports that the holder sent had themselves aged by half an interval on average.
    if (!isHolder()) return nowMs - holderUpdate.atMs + checkInIntervalMs() / 2;
    const ages = [...daemonsById.values()].map(({ atMs }) => nowMs - atMs);
    if (ages.length > 0) return ages.reduce((sum, ageMs) => sum + ageMs, 0) / ages.length;
    // Nobody has checked in with a new holder yet.
    return Number.isFinite(holderUpdate.atMs) ? nowMs - holderUpdate.atMs : 0;
  };

  const countDaemons = () => pruneDaemons().length + 1;

  const search = holderSearch.createHolderSearch({
    calls,
    random: options.random,
    knownHolder: () => {
      if (isHolder()) return isConfirmed() ? { runId, address } : undefined;
      return clock.monotonicMs() - holderUpdate.atMs < loadsValidityMs ? holder : undefined;
    },
  });

  const forgetFailures = () => {
    failures = { refused: 0, silent: 0 };
    recordAtSilence = undefined;
    takesOverAtMs = undefined;
  };

  /** Reports whether daemons with more processor time have had the time to take over, and waits for them if not. */
  const haveOthersPassed = (): boolean => {
    if (options.cores >= maxCores * ampleCoresFraction) return true;
    const nowMs = clock.monotonicMs();
    const othersFirstMs = Math.min(maxOthersFirstMs, checkInIntervalMs() * othersFirstFraction);
    takesOverAtMs ??= nowMs + othersFirstMs;
    nextActionAtMs = takesOverAtMs;
    return nowMs >= takesOverAtMs;
  };

  /** Forgets what is known of the previous holder's answers. */
  const forgetHolder = () => {
    forgetFailures();
    isHolderSlow = false;
  };

  const stepDown = (reason: string) => {
    if (isHolder()) log.warn({ step: 'lease', token, version }, `gave up control: ${reason}`);
    token = undefined;
    confirmedAt = undefined;
    version = undefined;
    holder = undefined;
  };

  const writeLease = async (holderRunId: string, waitsMs: number): Promise<void> => {
    const askedAt = clocks.readTimestamp(clock);
    const askedToken = token;
    hasDeniedHolding = false;
    const condition = version === undefined ? ('absent' as const) : { version };
    const record = { holderRunId, address, era, tokenOffset };
    const put = await client.put(key, record, condition, 'safety');
    if (!put.ok) {
      const { kind, step, peer, message } = put.error;
      log.info({ step, peer, kind, version }, message);
      if (kind === 'conflict' || kind === 'not-found') stepDown('another daemon wrote the lease');
      return;
    }
    version = put.value;
    const wasGivenUp = isStopped || token !== askedToken;
    if (holderRunId === '' || wasGivenUp) return;
    if (hasDeniedHolding) {
      // Another daemon may have taken over since then, in which case the next write conflicts.
      log.info({ step: 'lease', token, version }, 'denied holding the lease while it was written');
      nextActionAtMs = 0;
    } else confirmedAt = askedAt;
    if (token !== undefined) return;
    token = put.value + tokenOffset;
    holder = { runId, address };
    // The entries of targets may be as old as the record.
    const settlesInMs = passedEras > 0 ? fleet.registrationGraceMs : 0;
    const nowMs = clock.monotonicMs();
    actsFromMs = nowMs + settlesInMs;
    previousExpiresAtMs = nowMs + waitsMs;
    passedEras = 0;
    const fields = { step: 'lease', token, waitsMs: Math.max(waitsMs, settlesInMs), era };
    log.info(fields, 'acquired the lease');
  };

  /** Raises the next token above those of holders that the record no longer names. */
  const raiseTokens = (lossCount: number, reason: string) => {
    tokenOffset += lossCount * lostVersions;
    log.warn({ step: 'lease', tokenOffset, era }, `raised the tokens: ${reason}`);
  };

  /** Learns the era of the store, and how many have passed since the one of the record or the last one known. */
  const enterEra = (next: objectStore.Era, recordEra: objectStore.Era) => {
    const from = recordEra ?? era;
    era = next ?? era;
    const eraCount = from === undefined || era === undefined ? 0 : Math.abs(era - from);
    passedEras = recordEra === undefined ? passedEras + eraCount : eraCount;
  };

  const readLease = async (): Promise<boolean> => {
    const got = await client.get(key, 'safety');
    if (!got.ok) {
      if (got.error.kind !== 'not-found') return false;
      version = undefined;
      holder = undefined;
      enterEra(got.error.era, undefined);
      if (!options.isFirstStart) passedEras = Math.max(1, passedEras);
      if (wasOutdated) raiseTokens(1, 'the record is lost');
      wasOutdated = false;
      return true;
    }
    const checked = recordSchema.safeParse(got.value.value);
    if (!checked.success) {
      log.warn(
        { step: 'lease', version: got.value.version },
        'lease record is invalid: expected holderRunId and address',
      );
    }
    const { holderRunId = '', address: holderAddress = '', era: recordEra } = checked.data ?? {};
    version = got.value.version;
    enterEra(got.value.era, recordEra);
    tokenOffset = Math.max(tokenOffset, checked.data?.tokenOffset ?? 0);
    const isOwn = holderRunId === '' || holderRunId === runId;
    if (wasOutdated && isOwn) raiseTokens(1, 'no other holder is recorded');
    wasOutdated = false;
    holder = holderRunId === '' ? undefined : { runId: holderRunId, address: holderAddress };
    return true;
  };

  /** Looks for the next holder through other daemons, as the store does not respond to this one. */
  const searchHolder = async (exceptRunId: string | undefined) => {
    const found = await search.find(exceptRunId);
    if (found === undefined || found.runId === runId) return;
    stepDown('other daemons report another holder');
    log.info(
      { step: 'lease', holderRunId: found.runId, peer: found.address },
      'found the lease holder through other daemons',
    );
    holder = found;
    forgetHolder();
  };

  const sendCheckIn = ({ address: holderAddress, runId: holderRunId }: holderSearch.Holder) =>
    calls.call(
      holderAddress,
      checkInMethod,
      {
        address,
        cores: options.cores,
        loads: options.ownLoads(),
        question: options.checkInPayload.createRequest(holderRunId),
      },
      isHolderSlow ? patientTimeoutMs : checkInTimeoutMs,
    );

  /** Asks the previous holder, which can't renew its lease any more, whether it still acts. */
  const checkPrevious = async (previous: holderSearch.Holder) => {
    const result = await sendCheckIn(previous);
    const checked = result.ok ? checkInResponseSchema.safeParse(result.value) : undefined;
    if (checked?.data === undefined || checked.data.holderRunId === previous.runId) return;
    log.info({ step: 'lease', token, peer: previous.address }, 'the previous holder has stopped');
    previousExpiresAtMs = -Infinity;
  };

  /** Takes over the lease, unless another daemon has done so in the meantime. */
  const takeOver = async (loss: HolderLoss) => {
    const previous = holder;
    if (!(await readLease())) {
      await searchHolder(previous?.runId);
      return;
    }
    if (holder !== undefined && holder.runId !== previous?.runId) {
      forgetHolder();
      nextActionAtMs = 0;
      return;
    }
    const isRenewed = recordAtSilence !== undefined && recordAtSilence.version !== version;
    if (isRenewed && !isHolderSlow && loss === 'silent') {
      log.info({ step: 'lease', peer: holder?.address, version }, 'the holder is slow');
      forgetFailures();
      isHolderSlow = true;
      return;
    }
    const isOwnEarlierRun = holder?.address === address;
    if (passedEras > 0) raiseTokens(passedEras, 'the store has come back from an older copy');
    const mayActAtOnce = holder === undefined || loss === 'stopped' || isOwnEarlierRun;
    await writeLease(runId, mayActAtOnce ? 0 : leaseValidityMs);
    const mayAsk = loss === 'denied' && previous !== undefined && isHolder();
    if (mayAsk && !mayActAtOnce) await checkPrevious(previous);
  };

  const checkIn = async () => {
    if (holder === undefined || holder.address === address) {
      await takeOver('stopped');
      return;
    }
    const askedHolder = holder;
    const askedAt = clocks.readTimestamp(clock);
    const result = await sendCheckIn(askedHolder);
    if (result.ok) {
      const checked = checkInResponseSchema.safeParse(result.value);
      if (checked.success && checked.data.holderRunId === askedHolder.runId) {
        forgetFailures();
        if (clocks.maxElapsedMs(clock, askedAt) < checkInTimeoutMs) isHolderSlow = false;
        daemonCount = checked.data.daemonCount;
        maxCores = checked.data.maxCores ?? options.cores;
        options.checkInPayload.applyResponse(checked.data.news, askedAt);
        holderUpdate = { loads: checked.data.loads, atMs: clock.monotonicMs() };
        search.updatePeers(checked.data.peerAddresses);
        observerAddresses = checked.data.observerAddresses ?? [];
        return;
      }
      // The daemon at this address is no longer the holder.
      if (haveOthersPassed()) await takeOver('denied');
      return;
    }
    if (result.error.kind === 'refused') failures.refused += 1;
    else failures.silent += 1;
    log.info(
      { step: 'check-in', peer: askedHolder.address, kind: result.error.kind, ...failures },
      'a check-in with the holder failed',
    );
    nextActionAtMs = 0;
    if (failures.refused >= refusedCheckInLimit) {
      if (haveOthersPassed()) await takeOver('stopped');
      return;
    }
    const nowMs = clock.monotonicMs();
    const isSilent = result.error.kind !== 'refused';
    if (recordAtSilence === undefined && isSilent && (await readLease())) {
      recordAtSilence = { version, atMs: nowMs };
      // The record may name another holder by now.
      if (holder?.runId !== askedHolder.runId) forgetHolder();
      return;
    }
    const limit = isHolderSlow ? patientCheckInLimit : failedCheckInLimit;
    const silentSinceMs = recordAtSilence?.atMs ?? -Infinity;
    const hasWaited = isHolderSlow || nowMs - silentSinceMs >= renewalPatienceMs;
    const isTakenForGone = hasWaited && failures.refused + failures.silent >= limit;
    if (isTakenForGone && haveOthersPassed()) await takeOver('silent');
  };

  const tick = async () => {
    const nowMs = clock.monotonicMs();
    if (isTicking || isStopped || nowMs < nextActionAtMs) return;
    isTicking = true;
    try {
      if (isHolder()) {
        nextActionAtMs = nowMs + renewIntervalMs;
        await writeLease(runId, 0);
        search.updatePeers(pruneDaemons().map((daemon) => daemon.address));
        if (isHolder() && !isConfirmed()) await searchHolder(runId);
      } else {
        nextActionAtMs = nowMs + checkInIntervalMs() * (0.8 + 0.4 * options.random());
        await checkIn();
      }
    } finally {
      isTicking = false;
    }
  };

  calls.handle(checkInMethod, async (params, callerId) => {
    const checked = checkInRequestSchema.safeParse(params);
    if (!checked.success) throw new Error('params: expected address and loads');
    const { address: callerAddress, loads, question, cores = options.cores } = checked.data;
    daemonsById.set(callerId, { address: callerAddress, loads, cores, atMs: clock.monotonicMs() });
    const mayHold = isHolder() && isConfirmed();
    if (!mayHold) hasDeniedHolding = true;
    return {
      // A holder with an unconfirmed lease has stopped acting, so the next one may act immediately.
      holderRunId: mayHold ? runId : '',
      daemonCount: countDaemons(),
      maxCores: Math.max(
        options.cores,
        ...[...daemonsById.values()].map(({ cores: other }) => other),
      ),
      loads: sumLoads([sumLoadsExcept(callerId), options.ownLoads()]),
      news: isHolder() ? options.checkInPayload.createResponse(question) : undefined,
      peerAddresses: samplePeers(callerAddress),
      observerAddresses: isHolder() ? chooseOwnObservers() : undefined,
    };
  });

  return {
    state: () => {
      if (token === undefined) return { kind: 'standby', holderAddress: holder?.address };
      const waitsUntilMs = Math.max(actsFromMs, previousExpiresAtMs);
      const mayAct = isConfirmed() && clock.monotonicMs() >= waitsUntilMs;
      return { kind: 'holder', token, mayAct, actsFromMs: waitsUntilMs };
    },
    resign: (reason) => {
      wasOutdated = true;
      stepDown(reason);
    },
    daemonCount: () => (isHolder() ? countDaemons() : daemonCount),
    otherLoads: () => {
      if (isHolder()) {
        pruneDaemons();
        return sumLoadsExcept('');
      }
      return clock.monotonicMs() - holderUpdate.atMs < loadsValidityMs ? holderUpdate.loads : {};
    },
    otherLoadsAgeMs,
    contactAddresses: () => {
      if (isHolder()) return samplePeers(address);
      const holderAddresses = holder === undefined ? [] : [holder.address];
      const known = new Set([...holderAddresses, ...search.peerAddresses()]);
      known.delete(address);
      return [...known];
    },
    observerAddresses: () => (isHolder() ? chooseOwnObservers() : observerAddresses),
    checkInSoon: () => {
      if (!isHolder()) nextActionAtMs = 0;
    },
    peerAddresses: () => pruneDaemons().map((daemon) => daemon.address),
    component: {
      name: 'lease',
      start: () => {
        timer = setInterval(() => {
          void tick();
        }, tickIntervalMs);
        void tick();
      },
      stop: async () => {
        isStopped = true;
        clearInterval(timer);
        if (!isHolder()) return;
        log.info({ step: 'lease', token }, 'releasing the lease');
        token = undefined;
        await writeLease('', 0);
      },
    },
  };
};
