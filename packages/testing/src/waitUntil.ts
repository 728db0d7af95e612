import { setTimeout as sleep } from 'node:timers/promises';

const defaultIntervalMs = 10;

/**
 * Polls a condition until it is true; throws an error with the description after `timeoutMs`. A
 * condition that throws counts as not yet true.
 */
export const waitUntil = async (
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number,
  description: string,
  intervalMs = defaultIntervalMs,
): Promise<void> => {
  const deadlineMs = performance.now() + timeoutMs;
  let lastCause: unknown;
  while (performance.now() < deadlineMs) {
    try {
      if (await condition()) return;
      lastCause = undefined;
    } catch (cause) {
      lastCause = cause;
    }
    await sleep(intervalMs);
  }
  throw new Error(`timed out after ${timeoutMs} ms waiting for ${description}`, {
    cause: lastCause,
  });
};
