import type * as clocks from '@comfreydrum/clock';
import * as targetClient from '@comfreydrum/target-client';
import type { Candidate } from '../chooseTarget';

/** Finds out whether the process of a target has ended after a connection to it broke. */
export interface ProcessCheck {
  /** Resolves with true only if the target's port refuses connections. */
  readonly hasEnded: (candidate: CheckedTarget) => Promise<boolean>;
  /** Resolves with true only if the target's port accepts a connection, also if a packet is sent again. */
  readonly isListening: (candidate: CheckedTarget) => Promise<boolean>;
}

/** The run of a target, and where it listens. */
type CheckedTarget = Pick<Candidate, 'key' | 'address'>;

/** Dependencies of the check. */
export interface ProcessCheckOptions {
  readonly clock: clocks.Clock;
  readonly localAddress: string | undefined;
}

/** Longer than two round trips between failure domains. */
const connectTimeoutMs = 100;
/** A packet that opens a connection is sent again after one second. */
const patientTimeoutMs = 1_500;
/** A crashed target stays down for seconds, so this result is reused. */
const endedValidityMs = 250;

interface Check {
  readonly startedAtMs: number;
  readonly result: Promise<targetClient.ListeningState>;
}

/** Creates a check without results. */
export const createProcessCheck = ({ clock, localAddress }: ProcessCheckOptions): ProcessCheck => {
  const checks = new Map<string, Check>();

  const connect = (address: string, timeoutMs: number) =>
    targetClient.checkListening({ address, localAddress, timeoutMs });

  const start = (key: string, address: string): Promise<targetClient.ListeningState> => {
    const result = connect(address, connectTimeoutMs);
    checks.set(key, { startedAtMs: clock.monotonicMs(), result });
    return result;
  };

  const dropOutdated = (nowMs: number) =>
    checks.forEach(({ startedAtMs }, key) => {
      if (nowMs - startedAtMs >= endedValidityMs) checks.delete(key);
    });

  const check = async ({ key, address }: CheckedTarget): Promise<targetClient.ListeningState> => {
    const brokeAtMs = clock.monotonicMs();
    dropOutdated(brokeAtMs);
    const earlier = checks.get(key);
    if (earlier === undefined) return start(key, address);
    if ((await earlier.result) === 'refused') return 'refused';
    // An earlier check may have reached the process just before it ended.
    const latest = checks.get(key);
    if (latest !== undefined && latest.startedAtMs > brokeAtMs) return latest.result;
    return start(key, address);
  };

  return {
    hasEnded: async (candidate) => (await check(candidate)) === 'refused',
    isListening: async (candidate) => {
      const state = await check(candidate);
      if (state !== 'unknown') return state === 'listening';
      return (await connect(candidate.address, patientTimeoutMs)) === 'listening';
    },
  };
};
