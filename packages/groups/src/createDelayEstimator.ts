import type * as clock from '@comfreydrum/clock';

/**
 * Estimates the delivery delay of messages from a sender without synchronized clocks.
 *
 * The smallest difference between the receiver's and the sender's monotonic clocks is taken as a
 * delivery without delay. Any excess of a later message over it is time spent on the network or in
 * a buffer, for example while the process was paused.
 */
export interface DelayEstimator {
  /** Returns the delay of a message in milliseconds, or undefined if it cannot be estimated. */
  readonly delayMs: (sender: string, sentAtMs: number) => number | undefined;
}

interface Baseline {
  readonly offsetMs: number;
  readonly atMs: number;
  readonly messageCount: number;
}

/** The maximum relative drift between two clocks. */
const driftFraction = 0.0005;
const messagesForBaseline = 2;
const tickMs = 100;
const pauseThresholdMs = 500;
/** How long after a pause of this process its buffers may still contain old messages. */
const settleMs = 1_000;
const maxSenders = 4_096;

/**
 * Creates an estimator. Call `tick` every `tickMs`; a late tick shows that this process was paused.
 */
export const createDelayEstimator = (
  system: clock.Clock,
): DelayEstimator & { readonly tick: () => void; readonly tickMs: number } => {
  const baselines = new Map<string, Baseline>();
  let tickedAtMs = system.monotonicMs();
  let distrustedUntilMs = -Infinity;

  const detectPause = (nowMs: number) => {
    if (nowMs - tickedAtMs > pauseThresholdMs) distrustedUntilMs = nowMs + settleMs;
    tickedAtMs = nowMs;
  };

  const driftedOffset = ({ offsetMs, atMs }: Baseline, nowMs: number) =>
    offsetMs + (nowMs - atMs) * driftFraction;

  return {
    tickMs,
    tick: () => detectPause(system.monotonicMs()),
    delayMs: (sender, sentAtMs) => {
      const nowMs = system.monotonicMs();
      if (nowMs - tickedAtMs > pauseThresholdMs) detectPause(nowMs);
      if (nowMs < distrustedUntilMs) return undefined;
      const offsetMs = nowMs - sentAtMs;
      const known = baselines.get(sender);
      const leastMs = known ? Math.min(offsetMs, driftedOffset(known, nowMs)) : offsetMs;
      const messageCount = (known?.messageCount ?? 0) + 1;
      if (baselines.size >= maxSenders) baselines.clear();
      baselines.set(sender, { offsetMs: leastMs, atMs: nowMs, messageCount });
      return messageCount < messagesForBaseline ? undefined : offsetMs - leastMs;
    },
  };
};
