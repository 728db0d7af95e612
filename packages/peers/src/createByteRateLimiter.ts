import type * as clock from '@comfreydrum/clock';

/** A token bucket that limits the bytes of gossip sent per second. */
export interface ByteRateLimiter {
  readonly availableBytes: () => number;
  readonly consume: (sizeBytes: number) => void;
}

const bytesPerSecond = 16_384;
const burstBytes = 262_144;
const msPerSecond = 1_000;

/** Creates a token bucket that starts full. */
export const createByteRateLimiter = (systemClock: clock.Clock): ByteRateLimiter => {
  let remainingBytes = burstBytes;
  let refilledAtMs = systemClock.monotonicMs();

  const availableBytes = () => {
    const nowMs = systemClock.monotonicMs();
    remainingBytes = Math.min(
      burstBytes,
      remainingBytes + ((nowMs - refilledAtMs) / msPerSecond) * bytesPerSecond,
    );
    refilledAtMs = nowMs;
    return remainingBytes;
  };

  return {
    availableBytes,
    consume: (sizeBytes) => {
      remainingBytes = availableBytes() - sizeBytes;
    },
  };
};
