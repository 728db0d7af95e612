import { setTimeout as delay } from 'node:timers/promises';

const sampleTimeoutMs = 1_000;

/** Calls `sample` periodically until stopped. Failed samples are ignored. */
export const startSampling = (sample: () => Promise<void>, intervalMs: number) => {
  let isStopped = false;

  const run = async () => {
    while (!isStopped) {
      // While the platform is down or does not answer, its stored state does not change, so a missing
      // sample hides nothing.
      await Promise.race([sample().catch(() => undefined), delay(sampleTimeoutMs)]);
      await delay(intervalMs);
    }
  };

  const running = run();
  return {
    stop: async (): Promise<void> => {
      isStopped = true;
      await running;
    },
  };
};
