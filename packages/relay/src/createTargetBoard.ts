/** What this daemon has seen of one run of a target. */
export interface TargetEvidence {
  readonly inFlight: number;
  /** Since when nothing has come although something was awaited; undefined when nothing is awaited. */
  readonly silentSinceMs: number | undefined;
  /** Smoothed time between two events of a stream; undefined before the first pair. */
  readonly gapMs: number | undefined;
  /** Smoothed time to a whole answer. */
  readonly answerMs: number | undefined;
  /** Smoothed share of answers that failed, from 0 to 1; it fades with time. */
  readonly failureShare: number;
  /** Until when no new request goes there while others can take it. */
  readonly avoidUntilMs: number;
}

/** Keeps what the requests in progress show of their targets. */
export interface TargetBoard {
  readonly read: (targetKey: string, nowMs: number) => TargetEvidence;
  readonly onSend: (targetKey: string, nowMs: number) => void;
  /** Takes the arrival of bytes of an answer. */
  readonly onProgress: (targetKey: string, nowMs: number) => void;
  readonly onGap: (targetKey: string, gapMs: number) => void;
  readonly onAnswer: (targetKey: string, durationMs: number, nowMs: number) => void;
  readonly onFailure: (targetKey: string, nowMs: number) => void;
  readonly onEnd: (targetKey: string) => void;
  readonly avoid: (targetKey: string, untilMs: number) => void;
  /** Gives the requests in progress of the targets that have any. */
  readonly loads: () => Readonly<Record<string, number>>;
  /** Forgets targets without requests that are not among the given ones. */
  readonly retain: (targetKeys: ReadonlySet<string>) => void;
}

interface TargetEntry {
  inFlight: number;
  awaitedSinceMs: number;
  lastProgressAtMs: number;
  gapMs: number | undefined;
  answerMs: number | undefined;
  failureShare: number;
  failureAtMs: number;
  avoidUntilMs: number;
}

const smoothing = 0.15;
/** Failures lose half of their weight in this time, so that a mended target is tried again. */
const failureHalfLifeMs = 1_500;

const applySmoothing = (before: number | undefined, sample: number): number =>
  before === undefined ? sample : before + smoothing * (sample - before);

const decayedFailureRate = ({ failureShare, failureAtMs }: TargetEntry, nowMs: number): number =>
  failureShare * 0.5 ** ((nowMs - failureAtMs) / failureHalfLifeMs);

/** Creates a board without evidence. */
export const createTargetBoard = (): TargetBoard => {
  const entries = new Map<string, TargetEntry>();

  const getOrCreateEntry = (targetKey: string): TargetEntry => {
    const known = entries.get(targetKey);
    if (known !== undefined) return known;
    const created: TargetEntry = {
      inFlight: 0,
      awaitedSinceMs: 0,
      lastProgressAtMs: -Infinity,
      gapMs: undefined,
      answerMs: undefined,
      failureShare: 0,
      failureAtMs: 0,
      avoidUntilMs: -Infinity,
    };
    entries.set(targetKey, created);
    return created;
  };

  const recordOutcome = (targetKey: string, sample: number, nowMs: number) => {
    const entry = getOrCreateEntry(targetKey);
    entry.failureShare = applySmoothing(decayedFailureRate(entry, nowMs), sample);
    entry.failureAtMs = nowMs;
  };

  return {
    read: (targetKey, nowMs) => {
      const entry = getOrCreateEntry(targetKey);
      const silentSinceMs =
        entry.inFlight === 0 ? undefined : Math.max(entry.awaitedSinceMs, entry.lastProgressAtMs);
      return { ...entry, silentSinceMs, failureShare: decayedFailureRate(entry, nowMs) };
    },
    onSend: (targetKey, nowMs) => {
      const entry = getOrCreateEntry(targetKey);
      if (entry.inFlight === 0) entry.awaitedSinceMs = nowMs;
      entry.inFlight += 1;
    },
    onProgress: (targetKey, nowMs) => {
      getOrCreateEntry(targetKey).lastProgressAtMs = nowMs;
    },
    onGap: (targetKey, gapMs) => {
      const entry = getOrCreateEntry(targetKey);
      entry.gapMs = applySmoothing(entry.gapMs, gapMs);
    },
    onAnswer: (targetKey, durationMs, nowMs) => {
      const entry = getOrCreateEntry(targetKey);
      entry.answerMs = applySmoothing(entry.answerMs, durationMs);
      recordOutcome(targetKey, 0, nowMs);
    },
    onFailure: (targetKey, nowMs) => recordOutcome(targetKey, 1, nowMs),
    onEnd: (targetKey) => {
      const entry = getOrCreateEntry(targetKey);
      entry.inFlight = Math.max(0, entry.inFlight - 1);
    },
    avoid: (targetKey, untilMs) => {
      const entry = getOrCreateEntry(targetKey);
      entry.avoidUntilMs = Math.max(entry.avoidUntilMs, untilMs);
    },
    loads: () =>
      Object.fromEntries(
        [...entries]
          .filter(([, { inFlight }]) => inFlight > 0)
          .map(([key, { inFlight }]) => [key, inFlight]),
      ),
    retain: (targetKeys) => {
      [...entries]
        .filter(([key, { inFlight }]) => inFlight === 0 && !targetKeys.has(key))
        .forEach(([key]) => entries.delete(key));
    },
  };
};
