import { setTimeout as delay } from 'node:timers/promises';
import type * as clocks from '@comfreydrum/clock';
import type * as fleet from '@comfreydrum/fleet';
import type * as lifecycle from '@comfreydrum/lifecycle';
import type * as peers from '@comfreydrum/peers';
import type * as telemetry from '@comfreydrum/telemetry';
import * as zod from 'zod';
import type { Candidate } from '../chooseTarget';
import type { TargetTracker } from '../createTargetTracker';
import { isPaused } from '../signals/isPaused';
import { isReachInDoubt } from './isReachInDoubt';

/** How daemons help each other when one has lost its links to the targets. */
export interface ReachOptions {
  readonly calls: peers.PeerCalls;
  /** Returns the addresses of some other live daemons. */
  readonly peerAddresses: () => readonly string[];
}

/** Knows whether this daemon reaches the targets of a service, and which daemons do where it does not. */
export interface TargetReach {
  /** Returns daemons that reach the targets of a service; none unless this daemon is cut off from all of them. */
  readonly helpersOf: (serviceName: string) => readonly Candidate[];
  /** Asks other daemons whether they reach the targets of a service, and returns those that do. */
  readonly findHelpers: (service: fleet.Service) => Promise<readonly Candidate[]>;
  readonly component: lifecycle.Component;
}

export interface TargetReachOptions extends ReachOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.Log;
  readonly random: () => number;
  readonly failureDomain: string;
  /** Address at which this daemon serves callers. */
  readonly callerAddress: string;
  readonly isDraining: () => boolean;
  readonly services: () => readonly fleet.Service[];
  /** Returns all targets of a service that can take requests. */
  readonly candidatesOf: (service: fleet.Service) => readonly Candidate[];
  /** Reports whether a target answers on a new connection. */
  readonly probe: (candidate: Candidate) => Promise<boolean>;
  readonly targetTracker: TargetTracker;
}

/** What a daemon knows of its links to the targets of one service. */
interface ServiceReach {
  readonly isCutOff: boolean;
  readonly helpers: readonly Helper[];
  readonly helpersAtMs: number;
  /** The query of other daemons that is in progress. */
  readonly query: Promise<void> | undefined;
  readonly isChecking: boolean;
  readonly nextCheckAtMs: number;
}

const initialReach: ServiceReach = {
  isCutOff: false,
  helpers: [],
  helpersAtMs: -Infinity,
  query: undefined,
  isChecking: false,
  nextCheckAtMs: -Infinity,
};

const reachMethod = 'relay.reach';
const callTimeoutMs = 400;
const tickMs = 100;
/** Interval of checks while this daemon is, or may be, cut off. */
const checkIntervalMs = 500;
/** More than the opening of a connection and an answer take between failure domains. */
const quickProbeMs = 30;
/** Targets that are probed in a check. */
const maxProbes = 3;
/** A daemon that has heard of a target within this time reaches it; shorter than the silence that raises doubt. */
const heardValidityMs = 200;
const helpersValidityMs = 1_000;
/** Slots of another daemon, which limits its load itself. */
const helperSlots = 10_000;
const helperExpectedMs = 100;

const requestSchema = zod.object({ serviceName: zod.string() });
const helperSchema = zod.object({
  callerAddress: zod.string(),
  failureDomain: zod.string(),
  /** A draining daemon helps only where no other one can. */
  isDraining: zod.boolean(),
});
const responseSchema = zod.object({ helper: helperSchema.optional() });
type Helper = Readonly<zod.infer<typeof helperSchema>>;

/** Creates the knowledge of a daemon that has no reason to doubt its links. */
export const createTargetReach = (options: TargetReachOptions): TargetReach => {
  const { clock, log, calls, targetTracker } = options;
  const states = new Map<string, ServiceReach>();
  let timer: NodeJS.Timeout | undefined;

  const stateOf = (serviceName: string): ServiceReach => states.get(serviceName) ?? initialReach;

  const update = (serviceName: string, changes: Partial<ServiceReach>) =>
    states.set(serviceName, { ...stateOf(serviceName), ...changes });

  /** Probes some targets; the results are in the order of the targets. */
  const startProbes = (service: fleet.Service): readonly Promise<boolean>[] => {
    const nowMs = clock.monotonicMs();
    const candidates = options
      .candidatesOf(service)
      .filter((candidate) => !isPaused(candidate, nowMs));
    const start = Math.floor(options.random() * candidates.length);
    const probed = [...candidates.slice(start), ...candidates.slice(0, start)].slice(0, maxProbes);
    return probed.map(options.probe);
  };

  /** Probes some targets; returns how many were probed and how many answered. */
  const probeSome = async (service: fleet.Service) => {
    const answers = await Promise.all(startProbes(service));
    return { probedCount: answers.length, answeredCount: answers.filter(Boolean).length };
  };

  /** Reports whether any of some targets answers as quickly as over a sound link. */
  const isReachedQuickly = async (service: fleet.Service): Promise<boolean> => {
    const probes = startProbes(service);
    const answered = probes.map(async (probe) => {
      if (!(await probe)) throw new Error('not reached');
      return true;
    });
    const late = delay(quickProbeMs, false, { ref: false });
    return Promise.race([late, Promise.any(answered).catch(() => late)]);
  };

  const hasHeardLately = (service: fleet.Service): boolean => {
    const nowMs = clock.monotonicMs();
    return options
      .candidatesOf(service)
      .some(({ stats }) => nowMs - stats.lastProgressAtMs < heardValidityMs);
  };

  const askPeer = async (address: string, serviceName: string): Promise<readonly Helper[]> => {
    const result = await calls.call(address, reachMethod, { serviceName }, callTimeoutMs);
    const checked = responseSchema.safeParse(result.ok ? result.value : undefined);
    return checked.data?.helper === undefined ? [] : [checked.data.helper];
  };

  const preferredHelpers = (helpers: readonly Helper[]): readonly Helper[] => {
    const lasting = helpers.filter(({ isDraining }) => !isDraining);
    return lasting.length > 0 ? lasting : helpers;
  };

  /** Asks some daemons whether they reach the targets of a service; joins a query in progress. */
  const queryHelpers = (serviceName: string): Promise<void> => {
    const { query } = stateOf(serviceName);
    if (query !== undefined) return query;
    const addresses = options.peerAddresses();
    const started = Promise.all(addresses.map((address) => askPeer(address, serviceName))).then(
      (answers) => {
        const helpersAtMs = clock.monotonicMs();
        update(serviceName, {
          helpers: preferredHelpers(answers.flat()),
          helpersAtMs,
          query: undefined,
        });
      },
    );
    update(serviceName, { query: started });
    return started;
  };

  const toCandidate = ({ callerAddress, failureDomain }: Helper): Candidate => {
    const key = `daemon:${callerAddress}`;
    return {
      key,
      targetId: callerAddress,
      startedAtMs: 0,
      failureDomain,
      address: callerAddress,
      groupKey: undefined,
      isSameDomain: failureDomain === options.failureDomain,
      slots: helperSlots,
      expectedMs: helperExpectedMs,
      otherInFlight: 0,
      stats: targetTracker.read(key, clock.monotonicMs()),
      isDaemon: true,
    };
  };

  const setCutOff = (service: fleet.Service, isCutOff: boolean) => {
    const state = stateOf(service.name);
    if (state.isCutOff === isCutOff) return;
    update(service.name, { isCutOff });
    const helpers = state.helpers.map(({ callerAddress }) => callerAddress);
    const fields = { step: 'reach', service: service.name, isCutOff, helpers };
    if (isCutOff)
      log.warn(fields, 'reaches no target that other daemons reach; hands requests over');
    else log.info(fields, 'reaches targets again');
  };

  const endCheck = (service: fleet.Service) => {
    const nextCheckAtMs = clock.monotonicMs() + checkIntervalMs;
    update(service.name, { isChecking: false, nextCheckAtMs });
  };

  const check = async (service: fleet.Service) => {
    update(service.name, { isChecking: true });
    // Other daemons need not be asked, and probe targets in turn, where a few targets are just busy.
    if (!stateOf(service.name).isCutOff && (await isReachedQuickly(service))) {
      endCheck(service);
      return;
    }
    await queryHelpers(service.name);
    // Own probes come last, so that the end of a silence of all targets is not taken for a cut of this daemon.
    const { probedCount, answeredCount } = await probeSome(service);
    const { isCutOff, helpers } = stateOf(service.name);
    const isUnreached = probedCount > 0 && answeredCount === 0;
    if (!isCutOff) setCutOff(service, isUnreached && helpers.length > 0);
    else if (probedCount > 0 && answeredCount > probedCount / 2) setCutOff(service, false);
    endCheck(service);
  };

  const tick = () => {
    const nowMs = clock.monotonicMs();
    const services = options.services();
    const names = new Set(services.map(({ name }) => name));
    [...states.keys()].filter((name) => !names.has(name)).forEach((name) => states.delete(name));
    services.forEach((service) => {
      const state = stateOf(service.name);
      if (state.isChecking || nowMs < state.nextCheckAtMs) return;
      if (state.isCutOff || isReachInDoubt(options.candidatesOf(service), nowMs)) {
        void check(service);
      }
    });
  };

  calls.handle(reachMethod, async (params) => {
    const checked = requestSchema.safeParse(params);
    if (!checked.success) throw new Error('params: expected serviceName');
    const { serviceName } = checked.data;
    const service = options.services().find(({ name }) => name === serviceName);
    if (service === undefined || stateOf(serviceName).isCutOff) return {};
    const { callerAddress, failureDomain } = options;
    const isReached = hasHeardLately(service) || (await probeSome(service)).answeredCount > 0;
    if (!isReached) return {};
    return { helper: { callerAddress, failureDomain, isDraining: options.isDraining() } };
  });

  return {
    helpersOf: (serviceName) => {
      const { isCutOff, helpers } = stateOf(serviceName);
      return isCutOff ? helpers.map(toCandidate) : [];
    },
    findHelpers: async (service) => {
      const { helpersAtMs } = stateOf(service.name);
      if (clock.monotonicMs() - helpersAtMs > helpersValidityMs) await queryHelpers(service.name);
      return stateOf(service.name).helpers.map(toCandidate);
    },
    component: {
      name: 'target reach',
      start: () => {
        timer = setInterval(tick, tickMs);
      },
      stop: () => clearInterval(timer),
    },
  };
};
