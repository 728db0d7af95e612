import { performance } from 'node:perf_hooks';
import type * as testing from '@comfreydrum/testing';
import { sleep } from './withFleet';

/** Measures the latency of a process that receives no load, which shows how busy the machine is. */
export interface BaselineProbe {
  /** Stops the probe and returns the longest latency in milliseconds. */
  readonly stop: () => Promise<number>;
}

const pollIntervalMs = 20;

/** Polls the counts of the platform until stopped. */
export const createBaselineProbe = (platform: testing.FleetPlatform): BaselineProbe => {
  let isStopped = false;
  let longestMs = 0;

  const run = async () => {
    while (!isStopped) {
      const startedAtMs = performance.now();
      await platform.counts();
      longestMs = Math.max(longestMs, performance.now() - startedAtMs);
      await sleep(pollIntervalMs);
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
