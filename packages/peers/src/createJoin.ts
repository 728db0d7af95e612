import type { AntiEntropy } from './createAntiEntropy';
import type { DatagramCalls } from './createDatagramCalls';
import type { PeerState } from './createPeerState';
import type { Schedule } from './createSchedule';
import type { PeersOptions } from './Peers';
import { shuffle } from './shuffle';

/** Joins the fleet at the start, and again if no other member is left. */
export interface Join {
  readonly start: () => void;
  /** Removes this daemon from the platform seeds. */
  readonly withdraw: () => Promise<void>;
}

/** Options of `createJoin`. */
export interface JoinOptions {
  readonly options: PeersOptions;
  readonly state: PeerState;
  readonly datagrams: DatagramCalls;
  readonly antiEntropy: AntiEntropy;
  readonly schedule: Schedule;
}

const maxTriedCount = 5;
const firstRetryMs = 300;
const maxRetryMs = 5_000;
const announceRetryMs = 15_000;
const listIntervalMs = 10_000;
const checkIntervalMs = 10_000;
const withdrawTimeoutMs = 1_000;

/** Creates the join procedure of one daemon. */
export const createJoin = ({
  options,
  state,
  datagrams,
  antiEntropy,
  schedule,
}: JoinOptions): Join => {
  const { settings, platformSeeds, random } = options;
  const ownAddress = state.table.self().address;
  let listed: readonly string[] = [];
  let listedAtMs = Number.NEGATIVE_INFINITY;
  let failures = 0;

  const readList = async () => {
    const nowMs = options.clock.monotonicMs();
    if (!platformSeeds || nowMs - listedAtMs < listIntervalMs) return;
    listedAtMs = nowMs;
    listed = await platformSeeds.addresses();
  };

  const isAlone = () => state.liveOthers().length === 0;

  const tryAddress = async (address: string) => {
    const answer = await datagrams.ping(address, undefined, settings.probeTimeoutMs);
    if (answer) await antiEntropy.compareWith(address);
  };

  const tryAll = async () => {
    void readList();
    const addresses = new Set([...settings.seeds, ...listed]);
    addresses.delete(ownAddress);
    const chosen = shuffle([...addresses], random).slice(0, maxTriedCount);
    await Promise.all(chosen.map(tryAddress));
  };

  const joinUntilFound = async () => {
    await tryAll();
    if (!isAlone()) {
      failures = 0;
      return;
    }
    failures += 1;
    const boundMs = Math.min(maxRetryMs, firstRetryMs * 2 ** Math.min(failures, 8));
    schedule.after(firstRetryMs + boundMs * random(), joinUntilFound);
  };

  const announce = async () => {
    const { incarnation } = state.table.self();
    const result = await platformSeeds?.announce(options.instanceId, ownAddress, incarnation);
    if (result === 'failed') schedule.after(announceRetryMs * random(), announce);
  };

  /**
   * Probes a seed that is not among the known members. Daemons that started while they could not reach
   * each other may have formed separate fleets.
   */
  const check = async () => {
    const knownAddresses = new Set(state.liveOthers().map(({ address }) => address));
    const missing = settings.seeds.filter(
      (address) => address !== ownAddress && !knownAddresses.has(address),
    );
    const [address] = shuffle(missing, random);
    if (address !== undefined) await tryAddress(address);
    if (isAlone() && failures === 0) await joinUntilFound();
  };

  return {
    start: () => {
      void joinUntilFound();
      void announce();
      schedule.every(() => checkIntervalMs, check);
    },
    withdraw: async () => {
      if (!platformSeeds) return;
      const { incarnation } = state.table.self();
      await Promise.race([
        platformSeeds.withdraw(options.instanceId, incarnation),
        new Promise<void>((resolve) => {
          setTimeout(resolve, withdrawTimeoutMs);
        }),
      ]);
    },
  };
};
