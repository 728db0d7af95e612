import type { LimitedTarget, SendSchedule } from './createSendSchedule';

const msPerSecond = 1_000;
/** How long after its start a slot can be used. */
const maxOpenMs = 150;
/** Targets without a request for this long are forgotten. */
const retentionMs = 60_000;

interface SlotTarget {
  /** Where the slots of this daemon lie, as a fraction of the interval between them. */
  readonly phase: number;
  readonly lastSendAtMs: number;
  readonly askedAtMs: number;
}

/**
 * Creates a schedule with one short slot per interval, at a random phase. A slot that isn't used is lost. So the daemons
 * that share a rate don't save up requests while there are few and then all send in the same second.
 */
export const createShareSlots = (random: () => number): SendSchedule => {
  const known = new Map<string, SlotTarget>();

  const prune = (nowMs: number) =>
    [...known]
      .filter(([, { askedAtMs }]) => nowMs - askedAtMs > retentionMs)
      .forEach(([targetKey]) => known.delete(targetKey));

  const slotOf = ({ targetKey, perSecond }: LimitedTarget, nowMs: number) => {
    const intervalMs = msPerSecond / perSecond;
    const { phase, lastSendAtMs } = known.get(targetKey) ?? {
      phase: random(),
      lastSendAtMs: -Infinity,
    };
    known.set(targetKey, { phase, lastSendAtMs, askedAtMs: nowMs });
    const startMs = (Math.floor(nowMs / intervalMs - phase) + phase) * intervalMs;
    // The interval changes with the number of daemons; then a slot may begin soon after the last one.
    const isUsable = (slotMs: number) =>
      slotMs + maxOpenMs > nowMs && slotMs >= lastSendAtMs + intervalMs / 2;
    const starts = [0, 1, 2].map((index) => startMs + index * intervalMs);
    const atMs = starts.find(isUsable) ?? startMs + 3 * intervalMs;
    return { targetKey, atMs: Math.max(nowMs, atMs) };
  };

  return {
    reserve: ({ targets, maxWaitMs }, nowMs) => {
      prune(nowMs);
      const slots = targets.map((target) => slotOf(target, nowMs));
      const [first, ...others] = slots;
      if (first === undefined) return { kind: 'denied', retryAfterMs: 0 };
      const earliest = others.reduce((best, slot) => (slot.atMs < best.atMs ? slot : best), first);
      const { targetKey, atMs } = earliest;
      const waitMs = atMs - nowMs;
      if (waitMs > maxWaitMs) return { kind: 'denied', retryAfterMs: waitMs };
      known.set(targetKey, { ...known.get(targetKey)!, lastSendAtMs: atMs });
      return { kind: 'granted', targetKey, waitMs };
    },
  };
};
