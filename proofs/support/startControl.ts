import { performance } from 'node:perf_hooks';
import type * as testing from '@comfreydrum/testing';
import { sleep } from './withFleet';

/** Measures the latency of a process that receives no load, which shows how busy the machine is. */
export interface Control {
  /** Stops the probe and returns the longest latency in milliseconds. */
  readonly stop: () => Promise<number>;
}

const everyMs = 20;

/** Polls the counts of the platform until stopped. */
export const startControl = (platform: testing.FleetPlatform): Control => {
  let isStopped = false;
  let longestMs = 0;

  const run = async () => {
    while (!isStopped) {
      const startedAtMs = performance.now();
      await platform.counts();
      longestMs = Math.max(longestMs, performance.now() - startedAtMs);
      await sleep(everyMs);
    }
  };
  const running = run();

  return {
    stop: async () => {
      isStopped = true;
      await running;
      return longestMs;
    },
  };
};
