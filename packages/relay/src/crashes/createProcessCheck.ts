import type * as clocks from '@comfreydrum/clock';
import * as targetClient from '@comfreydrum/target-client';
import type { Candidate } from '../chooseTarget';

/** Finds out whether the process of a target has ended after a connection to it broke. */
export interface ProcessCheck {
  /** Resolves with true only if the target's port refuses connections. */
  readonly hasEnded: (candidate: Pick<Candidate, 'key' | 'address'>) => Promise<boolean>;
}

/** Dependencies of the check. */
export interface ProcessCheckOptions {
  readonly clock: clocks.Clock;
  readonly localAddress: string | undefined;
}

/** Longer than two round trips between failure domains. */
const connectTimeoutMs = 100;
/** A crashed target stays down for seconds, so this result is reused. */
const endedValidityMs = 250;

interface Check {
  readonly startedAtMs: number;
  readonly result: Promise<boolean>;
}

/** Creates a check without results. */
export const createProcessCheck = ({ clock, localAddress }: ProcessCheckOptions): ProcessCheck => {
  const checks = new Map<string, Check>();

  const connect = async (address: string) => {
    const state = await targetClient.checkListening({
      address,
      localAddress,
      timeoutMs: connectTimeoutMs,
    });
    return state === 'refused';
  };

  const start = (key: string, address: string): Promise<boolean> => {
    const result = connect(address);
    checks.set(key, { startedAtMs: clock.monotonicMs(), result });
    return result;
  };

  const dropOutdated = (nowMs: number) =>
    checks.forEach(({ startedAtMs }, key) => {
      if (nowMs - startedAtMs >= endedValidityMs) checks.delete(key);
    });

  return {
    hasEnded: async ({ key, address }) => {
      const brokeAtMs = clock.monotonicMs();
      dropOutdated(brokeAtMs);
      const earlier = checks.get(key);
      if (earlier === undefined) return start(key, address);
      if (await earlier.result) return true;
      // An earlier check may have reached the process just before it ended.
      const latest = checks.get(key);
      if (latest !== undefined && latest.startedAtMs > brokeAtMs) return latest.result;
      return start(key, address);
    },
  };
};
