import type * as clock from '@comfreydrum/clock';

/** A token bucket that limits the bytes of gossip sent per second. */
export interface ByteAllowance {
  readonly leftBytes: () => number;
  readonly spend: (sizeBytes: number) => void;
}

const bytesPerSecond = 16_384;
const burstBytes = 262_144;
const msPerSecond = 1_000;

/** Creates a token bucket that starts full. */
export const createByteAllowance = (systemClock: clock.Clock): ByteAllowance => {
  let left = burstBytes;
  let refilledAtMs = systemClock.monotonicMs();

  const availableBytes = () => {
    const nowMs = systemClock.monotonicMs();
    left = Math.min(burstBytes, left + ((nowMs - refilledAtMs) / msPerSecond) * bytesPerSecond);
    refilledAtMs = nowMs;
    return left;
  };

  return {
    leftBytes: availableBytes,
    spend: (sizeBytes) => {
      left = availableBytes() - sizeBytes;
    },
  };
};
