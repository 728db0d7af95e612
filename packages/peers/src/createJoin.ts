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

const maxAddressesPerAttempt = 5;
const firstRetryMs = 300;
const maxRetryMs = 5_000;
const announceRetryMs = 15_000;
const registryReadIntervalMs = 10_000;
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
  let registeredAddresses: readonly string[] = [];
  let registryReadAtMs = Number.NEGATIVE_INFINITY;
  let failures = 0;

  const readRegistry = async () => {
    const nowMs = options.clock.monotonicMs();
    if (!platformSeeds || nowMs - registryReadAtMs < registryReadIntervalMs) return;
    registryReadAtMs = nowMs;
    registeredAddresses = await platformSeeds.addresses();
  };

  const isAlone = () => state.liveOthers().length === 0;

  const tryAddress = async (address: string) => {
    const answer = await datagrams.ping(address, undefined, settings.probeTimeoutMs);
    if (answer) await antiEntropy.syncWith(address);
  };

  const tryAddresses = async () => {
    void readRegistry();
    const addresses = new Set([...settings.seeds, ...registeredAddresses]);
    addresses.delete(ownAddress);
    const chosen = shuffle([...addresses], random).slice(0, maxAddressesPerAttempt);
    await Promise.all(chosen.map(tryAddress));
  };

  const retryJoin = async () => {
    await tryAddresses();
    if (!isAlone()) {
      failures = 0;
      return;
    }
    failures += 1;
    const boundMs = Math.min(maxRetryMs, firstRetryMs * 2 ** Math.min(failures, 8));
    schedule.after(firstRetryMs + boundMs * random(), retryJoin);
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
    if (isAlone() && failures === 0) await retryJoin();
  };

  return {
    start: () => {
      void retryJoin();
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
