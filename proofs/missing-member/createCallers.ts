import { setTimeout as delay } from 'node:timers/promises';
import * as testing from '@comfreydrum/testing';

/** Callers that send completion requests at a fixed rate, without waiting for earlier requests. */
export interface Callers {
  readonly completedCount: () => number;
  /**
   * Counts the answers of a daemon that were cut off: neither complete, nor refused, nor ended by
   * an error event.
   */
  readonly cutOffCount: (instanceId: string) => number;
  readonly stop: () => Promise<void>;
}

const callIntervalMs = 80;
const callTimeoutMs = 15_000;

/** Starts a caller for each daemon of a fleet. */
export const createCallers = (fleet: testing.Fleet): Callers => {
  let isStopped = false;
  let completed = 0;
  const cutOffCounts = new Map<string, number>();

  const callOnce = async (daemon: testing.FleetDaemon, prompt: string) => {
    const outcome = await testing.streamCompletion({
      url: daemon.directUrl,
      token: testing.customerToken(testing.testNames.customer),
      prompt,
      model: testing.testNames.model,
      maxTokens: 3,
      signal: AbortSignal.timeout(callTimeoutMs),
    });
    if (outcome.end === 'complete') completed += 1;
    const { instanceId } = daemon;
    if (outcome.end === 'cut')
      cutOffCounts.set(instanceId, (cutOffCounts.get(instanceId) ?? 0) + 1);
  };

  const run = async (daemon: testing.FleetDaemon) => {
    const inProgress: Promise<void>[] = [];
    while (!isStopped) {
      inProgress.push(callOnce(daemon, `clause ${inProgress.length}`));
      await delay(callIntervalMs);
    }
    await Promise.all(inProgress);
  };

  const running = fleet.daemons.map(run);
  return {
    completedCount: () => completed,
    cutOffCount: (instanceId) => cutOffCounts.get(instanceId) ?? 0,
    stop: async () => {
      isStopped = true;
      await Promise.all(running);
    },
  };
};
